"""
Give every default in one place.

Suffixes state units: `_MS` milliseconds, `_BYTES` bytes.  Where a settings
file may override one, the field of that name in `ragworthollow.conf` does.
"""

# Limits at the door.
MAX_BODY_BYTES = 1_000_000
MAX_HEADER_BYTES = 8_190
MAX_CONFIGURATION_FILE_BYTES = 1_000_000
MAX_CONNECTIONS = 4_000
MAX_IN_FLIGHT = 1_000
MAX_DEADLINE_MS = 600_000
STREAM_READ_LIMIT_BYTES = 4_000_000

# Idempotency keys.
KEY_MAX_AGE_MS = 300_000
KEY_FUTURE_MARGIN_MS = 250
CLOCK_SKEW_MS = 250
KEY_RECORDS_LIMIT_BYTES = 4_000_000
ONCE_LOOKUP_TIMEOUT_MS = 250

# Ownership of key ranges.
ONCE_RANGES = 64
LEASE_TTL_MS = 9_000
LEASE_MARGIN_MS = 1_000
GRANT_MS = 3_000
GRANT_INTERVAL_MS = 500
NEWCOMER_WAIT_MS = 1_800_000
OWNERSHIP_INTERVAL_MS = 3_000
OWNERSHIP_OUTAGE_INTERVAL_MS = 1_000
LEAVING_INTERVAL_MS = 50
RENEWALS_PER_LEASE = 3
MOVE_WAIT_MS = 3_000
PEER_TIMEOUT_MS = 500

# The platform's services.
PLATFORM_TIMEOUT_MS = 1_500
INSTANCES_POLL_MS = 1_000
WATCH_RETRY_MS = 500
# Longest wait of one watch call; the store allows 30 s.
WATCH_WAIT_MS = 25_000

# Configuration.
WATCHERS_PER_DOMAIN = 4
CONFIGURATION_WAIT_MS = 3_000
# Silence of a peer beyond the wait that it was asked for; a live one answers
# within milliseconds.
CONFIGURATION_PEER_TIMEOUT_MS = 500
CONFIGURATION_RETRY_MS = 300
CONFIGURATION_REREAD_MS = 30_000
CHANGE_ATTEMPTS = 8
RETIRED_FILES_KEPT = 16
CONFIGURATION_PEERS_ASKED = 6
HISTORY_LENGTH = 50
LARGE_FILE_WARNING_BYTES = 32_000

# Routing.
SUBSET_SIZE = 10
LOAD_STALE_MS = 1_000
AFFINITY_DEPTH = 0.6
SUSPECT_MS = 2_000
PANIC_SHARE = 0.5
LEAVING_MS = 30_000
EJECTION_FACTOR = 3.0
EJECTION_MIN_SAMPLES = 5
EJECTION_MS = 3_000
EJECTION_MAX_SHARE = 0.34
LATENCY_DECAY = 0.2

# Retries and hedges.
RETRY_RATIO = 0.1
RETRY_BURST = 10.0
MAX_ATTEMPTS = 4
HEDGE_QUANTILE_FACTOR = 3.0

# Admission.
QUEUE_LIMIT = 256
DEFAULT_CONCURRENCY = 8
DEFAULT_ADMISSION_MARGIN_MS = 0
RETRY_AFTER_FLOOR_MS = 100
RETRY_AFTER_CEILING_MS = 10_000

# Connections between processes.
CONNECT_TIMEOUT_MS = 500
POOL_CONNECTIONS_PER_PEER = 64
KEEPALIVE_MS = 30_000

# Graceful shutdown.
BALANCER_LAG_MS = 2_000
DRAIN_QUIET_MS = 300
DRAIN_LIMIT_MS = 30_000

# Orders to engines.
ORDER_LIMIT_MS = 5_000
PLACEMENT_INTERVAL_MS = 500
PLACEMENT_CHECK_MS = 5_000
UNLOAD_DELAY_MS = 10_000
LOADS_PER_MINUTE = 60
ENGINE_LEASE_FACTOR = 3

# Metrics.
HISTOGRAM_HIGHEST_US = 60_000_000
HISTOGRAM_DIGITS = 2

# Attempts.
HEAD_TIMEOUT_MS = 400
CALL_TIMEOUT_FLOOR_MS = 250
CALL_TIMEOUT_FACTOR = 8.0
STREAM_SILENCE_FLOOR_MS = 600
STREAM_SILENCE_FACTOR = 2.0
HEDGE_DELAY_FLOOR_MS = 20
KEYED_RETRY_MS = 50
OVERLOAD_RETRIES = 2
EJECTION_INTERVAL_MS = 500

# Gateway: what a caller may send until a configuration says otherwise.
GATEWAY_HEADER_BYTES = 16_384
GATEWAY_BODY_BYTES = 4_194_304
GATEWAY_HEADER_TIMEOUT_MS = 3_000
GATEWAY_IDLE_TIMEOUT_MS = 15_000
# How long the rest of a refused body is read and dropped: closing at once
# would reset the connection before the caller has read why.
GATEWAY_LINGER_MS = 1_000

# Upstream instances of a gateway.
# Entries that lapsed while the store was away return within 2 s of its return.
# Kept for as long, less one poll, since a list ends it only when it comes: an
# instance that leaves right then gets nothing after the 2 s that it may.
LAPSED_ENTRY_MS = 1_400
# First time out of rotation after a failure; doubles up to 2**4 times.
UPSTREAM_SUSPECT_MS = 500
SUSPECT_DOUBLINGS_LIMIT = 4
# Others' load is as old as its report, and is known by all gateways at once:
# half of it keeps them from moving together (routing measurements).
REPORTED_LOAD_TRUST = 0.5
# Answers over which the time to a first event is averaged: some seconds of a
# pool's work at one gateway, so that it follows a burst.
ANSWER_TIME_SAMPLES = 40
# Answers before that time is believed: a line through fewer is chance.
ANSWER_TIME_LEAST_SAMPLES = 4
# Bounded-load hashing: an instance above this multiple of the mean, plus a
# twentieth of its slots, passes requests on to the next in rank.
AFFINITY_LOAD_FACTOR = 1.25
AFFINITY_LOAD_SLACK = 0.05

# Pieces of stages.
# A piece that is this late may still end in time: stage times are
# approximate to about a tenth of a call of 300 to 400 ms.
PIECE_LATE_GRACE_MS = 30
# Lateness at which a request that has cost nothing yet is given up; about one
# call, so that a wrong estimate of one call does not refuse a request.
PIECE_GIVE_UP_MS = 300
# Times of a request's objective after which its stage work is given up: a
# late answer still has some worth, but its caller is held all the while.
STAGE_PATIENCE = 2.0
# Rank of a more urgent request among pieces: as if it were due this much
# earlier for each step of priority; about one call.
PRIORITY_STEP_MS = 250
# Priorities that are told apart, 0 first.
PRIORITIES = 10
# How long the announced work of another gateway counts after it last told of
# it; it does so with each ping, every 250 ms, and two of these may be lost.
ANNOUNCEMENT_MS = 750
# Expected lateness at which a gate refuses stage work, and a front a caller
# that comes back after a refusal.
ADMISSION_GRACE_MS = 100
# Part of its objective that a new request must be expected to have left over
# when pools have queues.  Of 0.1, 0.15 and 0.2 the second attained most on
# heavy days (0.658, 0.668, 0.658 of worth; 0.636 without a margin).
ADMISSION_MARGIN = 0.15
# Callers leave a stream that has not begun after this many times its
# objective, and not before the shorter time.
CALLER_PATIENCE = 4.0
CALLER_PATIENCE_LEAST_MS = 2_000
# Part of its objective that a deferred request must be expected to have left
# over, as if it had just come and were the least urgent, before it begins.
DEFERRAL_SPARE = 0.22
# Kept back from a caller's patience for what estimates leave out; a call and
# the wait for it.
DEFERRAL_MARGIN_MS = 500
# How far back the turns of deferred requests are counted: about as long as one
# waits.
DEFERRAL_MEMORY_MS = 5_000
# Part of its caller's time that a request waits for a first configuration.
CONFIGURATION_WAIT_SHARE = 0.25
# Requests of a route over which the usual time limit is taken: some seconds of
# a route's traffic at one gateway, so that a new limit is soon the usual one.
USUAL_LIMIT_SAMPLES = 25
# How often the same limit among these makes it a habit of its callers; pauses
# before a return are spread over hundreds of milliseconds.
USUAL_LIMIT_REPEATS = 3
# How far the same limit strays by what transport takes of it.
LIMIT_TOLERANCE_MS = 10
# How much less than the usual limit tells that a caller has waited before;
# transport takes some milliseconds of a limit, a refusal and a pause more.
WAITED_LEAST_MS = 100
# How far back the rate of a queue is measured: some calls of 300 to 400 ms.
DRAIN_RATE_MEMORY_MS = 1_500
# Time with a backlog from which the measured rate counts: two calls or so.
DRAIN_RATE_LEAST_MS = 600
# How long a gate remembers results that were freed before it heard of them;
# another gate tells of what it had made at its next turn, every 50 ms.
FREED_MEMORY_MS = 2_000
# How long the calls of another gate count after it last told of them; it does
# so at each of its turns, every 50 ms, and three of these may be lost.
FOREIGN_CALL_MS = 200
# How long an instance that has less space than accounted for is left with what
# it was found to have; results are freed every few hundred milliseconds.
ROOM_RETRY_MS = 100
# An engine reads the inputs of a request before its prompt; the prompt takes
# hundreds of milliseconds, the inputs a few.  Of 1,800 requests on two heavy
# days none found its inputs gone.
ENGINE_INPUTS_READ_MS = 40
# A stage is begun as a whole where the results of this many full calls do not
# fit into the space of an instance.
WHOLE_STAGE_CALLS = 2
# Sizes of results are approximate.
ROOM_MARGIN = 1.04

# Gateway: stop, retries and the store.
# What the platform grants between TERM and KILL.
GATEWAY_GRACE_S = 8.0
# How often a process that stops looks whether it may end.
STOP_STEP_MS = 20
# Time before KILL at which the process ends by itself, so that what it cuts
# is logged; a core may be taken away for a tenth of a second at a time.
GATEWAY_STOP_MARGIN_MS = 300
# Time before that in which everything without an answer gets one.
GATEWAY_LAST_ANSWERS_MS = 300
# How long after TERM new streams are taken: the balancer moves away within
# this time, and a stream lasts for seconds.
GATEWAY_LATE_STREAM_MS = 2_500
# When a caller that meets a stopping gateway may come back: at once, since
# its next connection goes to another one.
GATEWAY_STOPPING_RETRY_MS = 30
# The balancer asks once a second and moves away after two misses; one more
# second covers the new connections that cross.
GATEWAY_BALANCER_LAG_MS = 3_300
GATEWAY_RETRY_RATIO = 0.2
GATEWAY_RETRY_SLACK = 20.0
# Part of the shared retry budget that gateways use; the rest covers those
# that restart with a full bucket or are not yet known to the others.
RETRY_BUDGET_USE = 0.6
# Part of the retry budget of a stage pool that the host of its gate uses: the
# others send nothing there, and two hosts may follow each other in a window.
HOST_RETRY_SHARE = 0.5
# The store answers in milliseconds; a call that hears nothing for this long
# runs on a silent connection.
STORE_TIMEOUT_MS = 450
# Pause before the second try of a call that was lost.
STORE_RETRY_MS = 50
# What the store and another gateway take for an answer, the way included.
STORE_ANSWER_MS = 50
PEER_ANSWER_MS = 50
# Part of the bound of a change in which it is seen although one call is lost;
# the rest is for a core that is taken away and for putting it in force.
CHANGE_SEEN_SHARE = 0.65
# Part of the longest age of evidence at which the first gateway reads, at
# least: earlier ones buy nothing where the bound is tight.
READ_LEAST_SHARE = 0.4
# Longest pause between tries while the store is away, as a part of the bound.
STORE_RETRY_SHARE = 0.2
# How far gateways that hear from nobody spread their reads, as a part of the
# longest age: they would all read at the same moment otherwise.
TRUST_SPREAD = 0.15
# Link of an instance where the settings do not say.
LINK_MBPS = 1_000
# What the installation allows where the settings do not say.
CONFIGURATION_BOUND_MS = 2_000
LEAVING_BOUND_MS = 2_000
DOMAIN_DRAIN_BOUND_MS = 5_000
# What an instance that warms up bears in one second where the settings do not
# say: a multiple of its rate, and a number of requests beside it.
WARM_UP_BURST_RATIO = 1.0
WARM_UP_BURST_SLACK = 0
# The way of a request from its choice to its instance.
SENDING_MS = 100
WARM_UPS_KEPT = 2_000
# Instances whose limits are remembered; several times what a fleet has.
NAMED_LIMITS_KEPT = 4_096
# How long a limit holds that no answer names again.  Gateways that may send
# ask every few seconds as long as they have callers for the pool.
NAMED_LIMIT_BELIEVED_MS = 60_000
# What the platform allows in any window where an instance has named a limit: a
# multiple of the limit, and a number of requests beside it.
NAMED_LIMIT_WINDOW_MS = 4_000
NAMED_LIMIT_RATIO = 1.5
NAMED_LIMIT_SLACK = 5
# Rate at which an instance is asked that takes none, to hear whether it does.
NAMED_LIMIT_LEAST_PER_S = 1 / 60
# Limits in one message between gateways, 1.8 KB: each tells a few others
# several times a second.  All of a fleet of 700 take ten seconds that way.
LIMITS_IN_MESSAGE = 16
# How long a limit that has changed is told before others: some pings.
LIMITS_TOLD_FIRST_MS = 2_000
INSTANCE_HEARTBEAT_MS = 1_200
# How long keys that the store has lost in a restoration hold unless they are
# written again: their writers notice it within seconds.
RESTORED_RETENTION_MS = 30_000
# Longest time for which a gateway takes the word of others for the store: one
# that is wrong would be believed for ever.
STORE_SELF_CHECK_MS = 30_000
# How often followers are told that nothing has changed; entries that lapsed in
# an outage end by that.
FOLLOWERS_TOLD_MS = 250
# Removed keys that are remembered for other gateways; one that knows less
# reads everything.
REMOVED_KEYS_KEPT = 1_000
# Size of changes up to which the answer to a ping carries them: hundreds of
# gateways ask the same host, whose link may be thin.
NEWS_BYTES = 4_096
# Longest news that are unpacked: a few times what the store's largest value and
# the entries of a thousand instances take.
NEWS_LONGEST_BYTES = 8_000_000
# Gateways that are asked when the store does not answer.
NEWS_PEERS_ASKED = 2
# How often all keys are read although their changes are followed, as a guard
# against a change that no watch tells of.
STORE_REREAD_MS = 5_000
# Longest read of all keys that is repeated for that: a change that is made
# meanwhile waits for its end, and the link is shared with callers.
STORE_REREAD_LONGEST_MS = 150
# Size up to which changes are read even where all keys are fewer bytes: that is
# 26 ms at 5 Mbit/s, less than the further call that it saves takes.
STORE_CHANGES_LEAST_BYTES = 16_384
# Longest exchange in which bytes keep coming.  The largest value of the store,
# 1 MB (1.4 MB as sent), takes 2.2 s at 5 Mbit/s, and four times that beside
# callers' traffic and another read.
EXCHANGE_LIMIT_MS = 10_000
# Membership of gateways.  The entry of one that is gone costs pings that are
# not answered; one that lapses while its gateway lives costs it its gates and
# the others a part of the retry budget.  So it outlives two lost renewals.
MEMBER_LEASE_MS = 12_000
MEMBER_RENEWAL_MS = 4_000
MEMBER_RETRY_MS = 1_500
# How long a process that ends waits for the store to drop its entry; part of
# `GATEWAY_STOP_MARGIN_MS`, and the lease ends by itself.
MEMBER_END_TIMEOUT_MS = 100
# A gateway that has not pinged a host for this long is gone, and what its
# requests hold is given up; it pings every 250 ms, and a core may be taken
# away for a tenth of a second at a time.
ASKER_SILENT_MS = 1_000
# A host of a gate that does not answer for this long is replaced; a core may
# be taken away for a tenth of a second at a time.
HOST_PING_MS = 250
# Members behind the host of a gate of which it should be known whether they
# answer, and the most silent ones that are asked for each gate at a time.
HOST_SUCCESSORS = 2
SILENT_ASKED_MOST = 4
# What a gate's messages take of a link while they take a core, and the class of
# gateways that can host next to nothing: 2**-6 of a core.
HOST_MBPS_PER_CORE = 20
HOST_LEAST_CLASS = -6
HOST_PING_TIMEOUT_MS = 500
PEER_CONNECT_TIMEOUT_MS = 300

# Gateway: attempts.
# A live machine accepts within milliseconds on these networks.
UPSTREAM_CONNECT_TIMEOUT_MS = 300
# Engines close idle connections; one that was idle for longer than this is
# not used again, since a request that crosses the close is lost.
UPSTREAM_IDLE_MS = 2_000
# Share of the time left that a repeatable attempt may take while another one
# could still follow.
ATTEMPT_TIME_SHARE = 0.5
# A stage call that takes this many times its expected time is slow: its
# pieces are tried elsewhere as well.
PIECE_CALL_PATIENCE = 2.5
# A stage call that takes this many times its expected time is asked for at its
# instance; call times are given to about a tenth.
PIECE_CALL_OVERDUE = 1.25
# Pause between two such questions: about one call.
PIECE_CALL_PROBE_MS = 300
# How long an answer may still be under way from an instance that is idle.
PIECE_ANSWER_GRACE_MS = 50
# A stage call that takes this long will not be answered any more.
PIECE_CALL_TIMEOUT_MS = 6_000
PIECE_ATTEMPTS = 3
GATE_TICK_MS = 50
# When a refused caller may come back at the earliest; spread by a half so
# that those refused together do not return together.
GATEWAY_RETRY_AFTER_MS = 400
RETRY_AFTER_SPREAD = 0.5
# Bytes between a stage and its neighbours from which its pieces wait for a near
# instance; below, a result crosses the network in a fraction of a millisecond.
NEAR_BYTES = 200_000
# Part of a piece's slack that it may wait for an instance near its reader.  Of
# 0.2, 0.3 and 0.4 the second served best under load, and 0.4 cost a calm day
# two points of answers in time for one of traffic between domains.
NEAR_WAIT_SHARE = 0.3

# Instances that are remembered to have said that they leave; a fleet replaces
# fewer while their entries can still be listed.
NOTICES_KEPT = 4_096
# How long other gateways are told of one that leaves: the store has its entry
# by then, or has been away for longer than instances take to leave.
LEAVING_TOLD_MS = 60_000

# Gateway: requests that crash instances.
# Crashes with a request running, and no good end since, from which the request
# is quarantined.
QUARANTINE_CRASHES = 2
# For how long after the last of them, doubled with each further one.
QUARANTINE_MS = 300_000
QUARANTINE_DOUBLINGS_LIMIT = 3
# What the store grants at most; a record that ends before its quarantine is
# missed only if all gateways end at once after that.
LONGEST_LEASE_MS = 600_000
# Requests that are remembered: several crashes of instances with every slot in
# use.
SUSPECTS_KEPT = 4_096
# How often old evidence is looked for.
EVIDENCE_FORGET_MS = 10_000
# Reports in one message between gateways; the rest follows with the next ping.
EVIDENCE_REPORTS = 256
# How long a crashed incarnation is remembered: longer than the entries of an
# instance that is gone stay listed.
CRASH_MEMORY_MS = 30_000

# Logs: a process serves some tens of requests a second with two or three
# lines each; what is over this rate is counted instead of written.
LOG_LINES_PER_S = 400.0
LOG_BUFFER_BYTES = 262_144

# Allocations between two collections of the youngest objects; most objects
# die by reference count.  The figure was chosen, not measured.
COLLECTION_THRESHOLD = 20_000
