package filbertstile

// Resource is what a refused request needed and did not get.
type Resource string

// Resources. docs/OPERATING.md explains them.
const (
	// ResourceSlots means that all slots of the eligible replicas are taken, or about to be.
	ResourceSlots Resource = "Slots"
	// ResourceReserve means that the free slots are kept for more urgent requests.
	ResourceReserve Resource = "Reserve"
	// ResourceTime means that the response could not begin, or end, in time.
	ResourceTime Resource = "Time"
	// ResourceEngineMemory means that the memory of the engines does not hold the request.
	ResourceEngineMemory Resource = "EngineMemory"
	// ResourceColdLimit means that the limit of requests to cold replicas is used up.
	ResourceColdLimit Resource = "ColdLimit"
	// ResourceReplicaLimit and ResourceReplicaPause mean that the replicas have named limits, or
	// have asked for pauses, in their responses.
	ResourceReplicaLimit Resource = "ReplicaLimit"
	ResourceReplicaPause Resource = "ReplicaPause"
	// ResourceReplicas means that no replica is eligible, reachable, or ran the request.
	ResourceReplicas Resource = "Replicas"
	// ResourceRate means that the paid rate of the account is used up.
	ResourceRate Resource = "Rate"
	// ResourceRetryBudget means that the budget of retries is spent.
	ResourceRetryBudget Resource = "RetryBudget"
	// ResourceRequestMemory means that the entry's memory for the bodies of requests is used up.
	ResourceRequestMemory Resource = "RequestMemory"
	// ResourceConfiguration means that the entry has no configuration, or an old one.
	ResourceConfiguration Resource = "Configuration"
	// ResourceEntry means that the entry is stopping.
	ResourceEntry Resource = "Entry"
	// ResourceNone means that nothing was short: the request itself was refused.
	ResourceNone Resource = "None"
)
