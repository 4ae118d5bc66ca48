package garbler

import "strings"

// Fragment is a line of the head of a response, without its end.
type Fragment struct {
	// Name tells what is special about the line.
	Name string
	Text string
}

// StatusLines returns lines in place of a status line that have no status of RFC 9110, section 15,
// or not where RFC 9112, section 4, has it.
func StatusLines() []Fragment {
	return []Fragment{
		{"Zero", "HTTP/1.1 000 OK"},
		{"ZeroWithoutReason", "HTTP/1.1 000"},
		{"OneDigit", "HTTP/1.1 2 OK"},
		{"TwoDigits", "HTTP/1.1 20 OK"},
		{"FourDigits", "HTTP/1.1 2000 OK"},
		{"LeadingZero", "HTTP/1.1 0200 OK"},
		{"Plus", "HTTP/1.1 +20 OK"},
		{"Minus", "HTTP/1.1 -20 OK"},
		{"Letter", "HTTP/1.1 2O0 OK"},
		{"Hexadecimal", "HTTP/1.1 0xC OK"},
		{"BlankWithin", "HTTP/1.1 2 00 OK"},
		{"TabBefore", "HTTP/1.1 \t200 OK"},
		{"TabAfter", "HTTP/1.1 200\tOK"},
		{"NULAfter", "HTTP/1.1 200\x00OK"},
		{"NoBlankAfter", "HTTP/1.1 200OK"},
		{"OtherDigits", "HTTP/1.1 \u0662\u0660\u0660 OK"},
		{"Below100", "HTTP/1.1 099 OK"},
		{"Above599", "HTTP/1.1 600 OK"},
		{"Highest", "HTTP/1.1 999 OK"},
		{"SwitchingProtocols", "HTTP/1.1 101 Switching Protocols"},
		{"NoStatus", "HTTP/1.1 OK"},
		{"VersionOnly", "HTTP/1.1"},
		{"VersionAndBlank", "HTTP/1.1 "},
		{"BlankBefore", " HTTP/1.1 200 OK"},
		{"Empty", ""},
		{"FieldLine", "Server: x"},
	}
}

// FieldLines returns lines in place of a field line that have no name of RFC 9110, section 5.1, or
// not where RFC 9112, section 5, has it.
func FieldLines(name, value string) []Fragment {
	middle := len(name) / 2
	within := func(s string) string { return name[:middle] + s + name[middle:] + ": " + value }
	return []Fragment{
		{"BlankWithin", within(" ")},
		{"TabWithin", within("\t")},
		{"NULWithin", within("\x00")},
		{"BareCRWithin", within("\r")},
		{"EscapeWithin", within("\x1b")},
		{"DELWithin", within("\x7f")},
		{"HighByteWithin", within("\xc3")},
		{"DelimiterWithin", within("(")},
		{"BlankBeforeColon", name + " : " + value},
		{"TabBeforeColon", name + "\t: " + value},
		{"NULBeforeColon", name + "\x00: " + value},
		{"BlankFirst", " " + name + ": " + value},
		{"TabFirst", "\t" + name + ": " + value},
		{"NULFirst", "\x00" + name + ": " + value},
		{"CRFirst", "\r" + name + ": " + value},
		{"NoName", ": " + value},
		{"BlankName", " : " + value},
		{"NoColon", name + " " + value},
		{"NameOnly", name},
	}
}

// ValueLines returns field lines whose value has a byte that RFC 9110, section 5.5, excludes.
func ValueLines(name string) []Fragment {
	var out []Fragment
	for _, f := range []Fragment{
		{"NULInValue", "\x00"}, {"BareCRInValue", "\r"}, {"EscapeInValue", "\x1b"}, {"DELInValue", "\x7f"}, {"BareCRAtEndOfValue", "\r"},
	} {
		value := "a" + f.Text + "b"
		if strings.Contains(f.Name, "AtEnd") {
			value = "a" + f.Text
		}
		out = append(out, Fragment{f.Name, name + ": " + value})
	}
	return out
}

// UnusualStatusLines returns valid status lines that few senders use.
func UnusualStatusLines() []Fragment {
	return []Fragment{
		{"EmptyReason", "HTTP/1.1 200 "},
		{"NoReason", "HTTP/1.1 200"},
		{"LongReason", "HTTP/1.1 200 " + strings.Repeat("reason ", 40)},
		{"ReasonWithTab", "HTTP/1.1 200 a\tb"},
		{"ReasonWithHighBytes", "HTTP/1.1 200 \xe9t\xe9"},
		// RFC 9112, section 4: a client should ignore the content of the reason.
		{"ReasonWithNUL", "HTTP/1.1 200 a\x00b"},
		{"ReasonWithEscape", "HTTP/1.1 200 a\x1bb"},
		{"UnknownSuccess", "HTTP/1.1 299 Miscellaneous"},
		{"UnknownClientError", "HTTP/1.1 477 Unknown"},
		{"LastClientError", "HTTP/1.1 499"},
		{"UnknownServerError", "HTTP/1.1 555 Unknown"},
		{"LastServerError", "HTTP/1.1 599 "},
	}
}

// UnusualFieldLines returns valid field lines that few senders use.
func UnusualFieldLines() []Fragment {
	return []Fragment{
		{"AllTokenCharacters", "!#$%&'*+-.^_`|~09AZaz: x"},
		{"OneCharacter", "a:x"},
		{"EmptyValue", "X-Empty:"},
		{"BlanksAroundValue", "X-Blanks: \t x \t "},
		{"TabInValue", "X-Tab: a\tb"},
		{"HighBytesInValue", "X-High: \x80\xe9\xff"},
		{"ColonsInValue", "X-Colons: a: b :c"},
	}
}
