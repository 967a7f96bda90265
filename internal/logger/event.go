package logger

// Event is a type of log line with a stable number. docs/EVENTS.md lists all
// events.
type Event struct {
	Number int
	Name   string
}

// The events. A number is never reused with another meaning.
var (
	EventStarted                  = Event{1001, "process_started"}
	EventStopped                  = Event{1002, "process_stopped"}
	EventDraining                 = Event{1003, "process_draining"}
	EventAcceptFailed             = Event{1101, "accept_failed"}
	EventSessionEndedByProxy      = Event{1102, "session_ended_by_proxy"}
	EventHandoffFailed            = Event{1103, "handoff_failed"}
	EventSessionRefused           = Event{1104, "session_refused"}
	EventSessionBroken            = Event{1105, "session_broken"}
	EventTransactionExpired       = Event{1106, "transaction_expired"}
	EventRequestServed            = Event{1110, "request_served"}
	EventRequestRefused           = Event{1111, "request_refused"}
	EventRequestRetried           = Event{1112, "request_retried"}
	EventCancelNotDelivered       = Event{1113, "cancel_not_delivered"}
	EventSessionClosed            = Event{1114, "session_closed"}
	EventHolderClosed             = Event{1115, "holder_closed"}
	EventConnectionClosed         = Event{1116, "connection_closed"}
	EventUpstreamSuspect          = Event{1204, "upstream_suspect"}
	EventUpstreamRecovered        = Event{1205, "upstream_back"}
	EventUpstreamConnectionLost   = Event{1206, "upstream_connection_lost"}
	EventUpstreamQueueRefused     = Event{1207, "upstream_queue_refused"}
	EventUpstreamConnectFailed    = Event{1208, "upstream_connect_failed"}
	EventUpstreamAnswerLate       = Event{1209, "upstream_answer_late"}
	EventUpstreamAnswerStray      = Event{1210, "upstream_answer_stray"}
	EventSettingsRead             = Event{1004, "settings_read"}
	EventSettingsRefused          = Event{1005, "settings_refused"}
	EventLogLinesDropped          = Event{1006, "log_lines_dropped"}
	EventControlStateNotStored    = Event{1411, "control_state_not_stored"}
	EventOperatorCallAnswered     = Event{1412, "operator_call_answered"}
	EventPromotionOrdered         = Event{1413, "promotion_ordered"}
	EventPromotionAnswered        = Event{1414, "promotion_answered"}
	EventTopologyUpdated          = Event{1308, "topology_taken"}
	EventCommandApplied           = Event{1415, "command_applied"}
	EventPeersUpdated             = Event{1309, "peers_taken"}
	EventOwnerLost                = Event{1310, "owner_lost"}
	EventTokenHostLost            = Event{1311, "treasurer_lost"}
	EventSampleFailed             = Event{1312, "sample_failed"}
	EventPrimaryLeaseGained       = Event{1313, "primary_lease_gained"}
	EventDataCentreEvacuated      = Event{1314, "data_centre_evacuated"}
	EventUpstreamOverloaded       = Event{1316, "upstream_overloaded"}
	EventOwnerSlow                = Event{1317, "owner_slow"}
	EventReadsLeaveRegion         = Event{1318, "reads_leave_region"}
	EventEvacuationChanged        = Event{1421, "evacuation_changed"}
	EventPrimaryDemoted           = Event{1418, "primary_demoted"}
	EventElectionStep             = Event{1422, "election_step"}
	EventControlSaveSlow          = Event{1423, "control_save_slow"}
	EventControlWorkDropped       = Event{1424, "control_work_dropped"}
	EventControlUncertain         = Event{1425, "control_uncertain"}
	EventListenerFailed           = Event{1008, "part_failed"}
	EventControlMembersPlanned    = Event{1416, "control_members_planned"}
	EventReplicationStatusUnknown = Event{1417, "upstream_standing_unknown"}
	EventReadinessChanged         = Event{1007, "readiness_changed"}
	EventReportRefused            = Event{1419, "report_refused"}
	EventPanicRecovered           = Event{1009, "panic_recovered"}
	EventEntryIgnored             = Event{1010, "entry_ignored"}
	EventWarmupGrantChanged       = Event{1315, "warmup_grant_changed"}
	EventUpstreamAnnounced        = Event{1201, "upstream_announced"}
	EventAnnouncementRefused      = Event{1202, "announcement_refused"}
	EventUpstreamLifecycleChanged = Event{1203, "upstream_lifecycle_changed"}
	EventControlConnected         = Event{1301, "control_connected"}
	EventControlLost              = Event{1302, "control_lost"}
	EventAuthorityLost            = Event{1303, "authority_lost"}
	EventAuthorityGained          = Event{1304, "authority_gained"}
	EventConfigurationApplied     = Event{1305, "configuration_taken"}
	EventConfigurationRefused     = Event{1306, "configuration_refused"}
	EventHostJoined               = Event{1401, "host_joined"}
	EventHostLeft                 = Event{1402, "host_left"}
	EventTermStarted              = Event{1403, "term_started"}
	EventPromotionDone            = Event{1404, "promotion_done"}
	EventPromotionBlocked         = Event{1405, "promotion_held"}
	EventPromotionUndecided       = Event{1420, "promotion_undecided"}
	EventPlatformOrderFailed      = Event{1406, "platform_order_failed"}
	EventConfigurationInForce     = Event{1407, "configuration_in_force"}
	EventControlMembersChanged    = Event{1408, "control_members_changed"}
	EventControlHostRefused       = Event{1409, "control_host_refused"}
	EventVoteClearancePending     = Event{1410, "clearance_awaited"}
)

// Events returns all events.
func Events() []Event {
	return []Event{
		EventStarted, EventStopped, EventDraining, EventAcceptFailed, EventSessionEndedByProxy, EventHandoffFailed,
		EventUpstreamAnnounced, EventAnnouncementRefused, EventUpstreamLifecycleChanged,
		EventControlConnected, EventControlLost, EventAuthorityLost, EventAuthorityGained,
		EventConfigurationApplied, EventConfigurationRefused,
		EventHostJoined, EventHostLeft, EventTermStarted, EventPromotionDone, EventPromotionBlocked,
		EventPlatformOrderFailed, EventConfigurationInForce, EventControlMembersChanged, EventControlHostRefused,
		EventVoteClearancePending,
		EventSessionRefused, EventSessionBroken, EventTransactionExpired,
		EventRequestServed, EventRequestRefused, EventRequestRetried,
		EventUpstreamSuspect, EventUpstreamRecovered, EventUpstreamConnectionLost, EventUpstreamQueueRefused, EventUpstreamConnectFailed, EventUpstreamAnswerLate, EventUpstreamAnswerStray,
		EventSettingsRead, EventSettingsRefused, EventLogLinesDropped, EventReadinessChanged,
		EventControlStateNotStored, EventOperatorCallAnswered, EventPromotionOrdered, EventPromotionAnswered, EventTopologyUpdated, EventCommandApplied, EventPeersUpdated, EventOwnerLost, EventTokenHostLost, EventSampleFailed, EventListenerFailed, EventControlMembersPlanned, EventReplicationStatusUnknown,
		EventPrimaryLeaseGained, EventPrimaryDemoted, EventPanicRecovered, EventReportRefused, EventPromotionUndecided, EventEntryIgnored, EventWarmupGrantChanged, EventCancelNotDelivered,
		EventDataCentreEvacuated, EventEvacuationChanged, EventUpstreamOverloaded, EventOwnerSlow, EventReadsLeaveRegion,
		EventSessionClosed, EventHolderClosed, EventConnectionClosed,
		EventElectionStep, EventControlSaveSlow, EventControlWorkDropped, EventControlUncertain,
	}
}
