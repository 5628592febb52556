"""
Define the default values of all settings and limits.

Suffixes state units: `_MS` milliseconds, `_BYTES` bytes.  Where a settings file
may override a default, the field of the same name in `ragworthollow.conf` does.
"""

# Limits on incoming requests.
MAX_BODY_BYTES = 1_000_000
# Maximum size of a request head at an address whose limit no operator sets.
MAX_HEADER_BYTES = 65_536
MAX_CONFIGURATION_FILE_BYTES = 1_000_000
MAX_CONNECTIONS = 4_000
MAX_IN_FLIGHT = 1_000
MAX_DEADLINE_MS = 600_000
# Routes of earlier configurations that a gateway remembers, of which it infers
# where streams may have begun; some 500 bytes each.
MAX_FORMER_ROUTES = 4_096
# Maximum number of pieces that the stages of one request have together.
MAX_REQUEST_PIECES = 10_000
# Maximum length of the line that begins a chunk of a body, with its extensions.
MAX_CHUNK_LINE_BYTES = 4_096
# Received bytes of a request body from which its connection is not read until
# its handler has taken them.
REQUEST_READ_BUFFER_BYTES = 8_192
# Number of chunks of a body that are decoded in one turn of its connection, and
# of connections that have their turn before the event loop does other work.
REQUEST_TURN_CHUNKS = 64
# Bytes of a body in chunks up to which it needs no turn.
CHEAP_BODY_BYTES = 4_096
TURNS_AT_ONCE = 8
# Bytes that the kernel receives for a connection of a client while they are not
# read; it may use twice as much memory.
RECEIVE_BUFFER_BYTES = 65_536
# Bytes behind a refused request that are dropped until its client has read the
# refusal; the connection of a client that sends more is reset.
MAX_DISCARDED_BYTES = 262_144
# How often it is checked whether the client of a connection has left that is
# not being read.
CALLER_CHECK_MS = 200
# Log lines a second for clients that are refused or disconnected.
REJECTION_LINES_PER_S = 20

# Memory of a process.

# What a process takes without any requests.
PROCESS_MEMORY_MB = 90
# Share of the memory of a process that it divides at least.
MIN_MEMORY_SHARE = 0.1
# Shares of the memory that is left: received bytes that belong to no request as
# yet, the heads of requests in progress, the bodies of callers' requests at a
# gateway, those of all other requests, and whole responses.
UNSCANNED_MEMORY_SHARE = 0.1
HEAD_MEMORY_SHARE = 0.1
BODY_MEMORY_SHARE = 0.45
MESSAGE_MEMORY_SHARE = 0.15
ANSWER_MEMORY_SHARE = 0.15
# How often it is checked for whole responses whether there is room, and for how
# long their clients may take to read them where others wait for room.
ANSWER_ROOM_CHECK_MS = 100
ANSWER_READ_MS = 1_000
# Length of the parts in which a whole response is sent.
RESPONSE_PART_BYTES = 32_768
# A client is disconnected that reads nothing of a response for so long while
# more of it waits to be sent than the connection takes.
RESPONSE_STALL_MS = 10_000
# Memory that a line of a head takes beside its bytes.
HEAD_LINE_BYTES = 600

# File descriptors of a process.

# Those that are no sockets, and the share of all that they may take at most.
FILE_DESCRIPTORS = 200
FILE_DESCRIPTORS_MAX_SHARE = 0.25
# Shares of the sockets that connections of clients may take at each address;
# what is left serves connections to upstreams, peers and the store.
CALLER_CONNECTIONS_SHARE = 0.45
PEER_CONNECTIONS_SHARE = 0.25
MONITORING_CONNECTIONS_SHARE = 0.02
DAEMON_CONNECTIONS_SHARE = 0.6
MIN_LISTENER_CONNECTIONS = 8
# Bounds the request identifiers that a connection to an upstream remembers.
CONNECTION_EXCHANGES = 256
# Body of a response that belongs to an earlier request.
DISCARDED_BODY_BYTES = 1_000_000

# Maximum length of what comes before a response: its head, and heads that only
# announce it.
MAX_RESPONSE_HEAD_BYTES = 65_536
# Number of responses that may arrive on a connection before one is taken.
MAX_QUEUED_RESPONSES = 16
# Number of received bytes that are parsed at once, before their effect is
# checked.
PARSED_BYTES = 8_192
# Maximum length of the body of a response that is passed on to a caller.
MAX_RESPONSE_BYTES = 33_554_432
# Maximum length of a message of an upstream or peer to this system.
MAX_MESSAGE_BYTES = 1_048_576
# Maximum length of a message in which a peer may send the state of the store.
MAX_PEER_STATE_BYTES = 16_777_216
# Maximum length of a line in a stream of stage results.
MAX_LINE_BYTES = 8_000_000
# Maximum length of the platform's list of instances.
MAX_INSTANCE_LIST_BYTES = 4_194_304
# Maximum length of a response to the tool of operators.
MAX_OPERATOR_RESPONSE_BYTES = 8_388_608
# Maximum length of a response of the store.
MAX_STORE_RESPONSE_BYTES = 16_777_216

# Bytes on the wire for a body, as a multiple of its maximum length, at which it
# is given up: chunks of a few bytes take several times their length.
WIRE_BYTES_RATIO = 1.25

# Streams of upstreams.

# Maximum length of one event, without the blank line at its end; a stream with
# a longer one is broken off.
MAX_EVENT_BYTES = 262_144
# Number of pairs of a route and a software version of which it is remembered
# how the events of their streams are numbered; also that in the record of one
# pool in the store.
MAX_EVENT_NUMBERINGS = 1_000
# Number of gateways that write at once what they have learnt of a pool's
# numbering, and writes a second of all others together, which wait longer.
EVENT_NUMBERING_FIRST_WRITERS = 16
EVENT_NUMBERING_WRITES_PER_S = 40
# Number of bytes and of chunks of a stream that are processed before the event
# loop continues with other work.
STREAM_TURN_BYTES = 16_384
STREAM_TURN_CHUNKS = 64
# Received bytes of a response from which its connection is not read until
# half of them have been processed.
UPSTREAM_READ_BUFFER_BYTES = 32_768

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
# Maximum wait of one watch call; the store allows 30 s.
WATCH_WAIT_MS = 25_000

# Configuration.
WATCHERS_PER_DOMAIN = 4
CONFIGURATION_WAIT_MS = 3_000
# Timeout for a peer beyond the wait time that it was asked for; a live peer
# responds within milliseconds.
CONFIGURATION_PEER_TIMEOUT_MS = 500
CONFIGURATION_RETRY_MS = 300
CONFIGURATION_REREAD_MS = 30_000
CHANGE_ATTEMPTS = 8
MAX_RETIRED_FILES = 16
CONFIGURATION_PEERS_QUERIED = 6
HISTORY_LENGTH = 50
LARGE_FILE_WARNING_BYTES = 32_000

# Routing.
SUBSET_SIZE = 10
LOAD_STALE_MS = 1_000
# How long the reported duration of work on an instance is used; other programs
# there slow it down for some hundred milliseconds at a time.
WORK_TIME_STALE_MS = 250
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
HISTOGRAM_MAX_US = 60_000_000
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

# Gateway: limits on callers' requests until a configuration sets others.
GATEWAY_HEADER_BYTES = 16_384
GATEWAY_BODY_BYTES = 4_194_304
GATEWAY_HEADER_TIMEOUT_MS = 3_000
GATEWAY_IDLE_TIMEOUT_MS = 15_000
# How long the rest of a refused request's body is read and discarded: closing
# at once would reset the connection before the caller has read the refusal.
GATEWAY_LINGER_MS = 1_000

# Gateway: memory for the bodies of requests.
GATEWAY_MEMORY_MB = 256
# Bodies above this size may take only a share of that memory.
LARGE_BODY_BYTES = 65_536
LARGE_BODIES_SHARE = 0.9
# Delay after which a caller may retry that was refused for want of memory.
BODY_MEMORY_RETRY_MS = 1_000

# Upstream instances of a gateway.

# How long after the first list that can be read again instances are kept whose
# records expired during a store outage; the records return within 2 s of the
# end of the outage.  It is shorter by one poll, since only the arrival of the
# next list ends it: an instance that shuts down just then must get no request
# after the 2 s that it may.
EXPIRED_ENTRY_GRACE_MS = 1_400
# Initial time out of rotation after a failure; it doubles with each further
# failure, up to 2**4 times.
UPSTREAM_SUSPECT_MS = 500
SUSPECT_DOUBLINGS_LIMIT = 4
# Weight of the load that other gateways report.  It is as old as its report and
# reaches all gateways at once: half of it keeps gateways from moving together.
REPORTED_LOAD_WEIGHT = 0.5
# Number of responses over which the time to a first event is averaged: a few
# seconds of a pool's work at one gateway, so that the average follows a burst.
FIRST_EVENT_LATENCY_SAMPLES = 40
# Number of responses from which that average is used; a fit to fewer samples is
# mostly noise.
FIRST_EVENT_LATENCY_MIN_SAMPLES = 4
# Consistent hashing with bounded loads: an instance above this multiple of the
# mean load, plus a twentieth of its slots, passes requests on to the next in
# rank.
AFFINITY_LOAD_FACTOR = 1.25
AFFINITY_LOAD_SLACK = 0.05

# Engines of uneven speed.

# Period over which the usual work time of instances is taken: several of the
# times for which other programs slow an instance down.
WORK_TIME_PERIOD_MS = 3_000
# Ratio of the speeds of two engines from which a pool counts as uneven; below
# it the bounded load of consistent hashing evens them out.
UNEVEN_SPEED_RATIO = 1.6
# Number of engines that are compared for each prompt.
ENGINE_CANDIDATES = 3
# Number of engines among which these are found: some have no free slots.
ENGINE_NOMINEES = 9
# How much longer than the best engine one may take that has the shared parts of
# a prompt, or near which the results of its stages are stored.
HOME_ENGINE_TOLERANCE = 2.0
EXPECTED_ENGINE_TOLERANCE = 2.0
# What a request that generates delays others by, in prompt tokens.
ENGINE_REQUEST_TOKENS = 64
# How long reports of other gateways on engines are used: prompts are read
# within a second, and two pings may be lost.
ENGINE_REPORT_TTL_MS = 1_000
# Bytes a second that a host sends in such reports to all gateways together, and
# the size of one report.
ENGINE_REPORTS_BYTES_PER_S = 250_000
ENGINE_REPORT_BYTES = 90
# Maximum number of engines of which the host itself uses the reports.
MAX_COLLECTED_ENGINES = 4_096

# Pieces of stages.

# A piece that is expected to be this late may still end in time: estimated
# stage times are accurate to about a tenth of a call of 300 to 400 ms.
PIECE_LATE_GRACE_MS = 30
# Expected lateness at which a request that has cost nothing yet is abandoned;
# about one call, so that a wrong estimate of one call refuses no request.
PIECE_GIVE_UP_MS = 300
# Multiple of a request's latency objective after which its stage work is
# abandoned: a late result still has some worth, but its caller is blocked
# meanwhile.
STAGE_TIMEOUT_FACTOR = 2.0
# Scheduling advantage of each step of priority: a more urgent request is ranked
# as if it were due this much earlier; about one call.
PRIORITY_STEP_MS = 250
# Number of distinct priorities, starting from 0.
PRIORITIES = 10
# How long work that another gateway has announced stays valid.  Each ping
# renews it, every 250 ms, and two pings may be lost.
ANNOUNCEMENT_MS = 750
# Expected lateness at which a scheduler refuses stage work, and a gateway
# refuses a caller that retries after a refusal.
ADMISSION_GRACE_MS = 100
# Part of its latency objective that a new request must be expected to have left
# when pools have queues.  A smaller margin admits requests that narrowly miss
# their objective after they have used capacity; a larger one refuses requests
# that could have been served in time.
ADMISSION_MARGIN = 0.15
# Callers abandon a stream that has not started after this multiple of its
# latency objective, and not before the minimum.
CALLER_TIMEOUT_FACTOR = 4.0
CALLER_TIMEOUT_MIN_MS = 2_000
# Part of its latency objective that a deferred request must be expected to have
# left before it starts, estimated as if it had just arrived with the lowest
# priority.
DEFERRAL_MIN_SLACK = 0.22
# Longest expected wait in which a deferred request starts where space for
# results is scarce: its results expire after a few seconds.
DEFERRAL_MAX_WAIT_MS = 1_200
# How much before its latest start a stage begins that waits in order to save
# space; about one call.
LATE_START_MARGIN_MS = 300
# Safety margin below a caller's timeout for what estimates do not include: one
# call and the wait for it.
DEFERRAL_MARGIN_MS = 500
# Time constant with which the counts of started and expired deferred requests
# decay: about as long as a request is deferred.
DEFERRAL_DECAY_MS = 5_000
# Part of its time limit that a request waits for the first configuration.
CONFIGURATION_WAIT_SHARE = 0.25
# Number of requests of a route from which the typical time limit is derived: a
# few seconds of a route's traffic at one gateway, so that a new limit soon
# becomes the typical limit.
TYPICAL_LIMIT_SAMPLES = 25
# How often the same limit has to occur among these to count as typical of its
# callers; the delays before a retry vary by hundreds of milliseconds.
TYPICAL_LIMIT_REPEATS = 3
# Maximum difference between equal limits on arrival; transport takes a part of
# each.
LIMIT_TOLERANCE_MS = 10
# How far below the typical limit a request's limit shows that its caller has
# waited before; transport takes some milliseconds of a limit, a refusal with
# its back-off more.
MIN_WAITED_MS = 100
# Time constant with which the measurement of a queue's throughput decays: a few
# calls of 300 to 400 ms.
QUEUE_THROUGHPUT_DECAY_MS = 1_500
# Minimum time with a backlog before the measured throughput is used: about two
# calls.
QUEUE_THROUGHPUT_MIN_MS = 600
# Time constant with which the error of expected stage durations decays, and the
# weight of stages from which it is used.
WAIT_ERROR_DECAY_MS = 1_000
WAIT_ERROR_MIN_STAGES = 5
# How long a scheduler remembers results that were released before it learned of
# them; another scheduler reports what it has produced in its next scheduling
# cycle, every 50 ms.
RELEASED_RESULT_TTL_MS = 2_000
# How long the calls of another scheduler count after its last report; it
# reports in each of its scheduling cycles, every 50 ms, and three reports may
# be lost.
REMOTE_CALL_TTL_MS = 200
# How long the observed result space of an instance is used where it is below
# the accounted space; results are released every few hundred milliseconds.
RESULT_SPACE_RETRY_MS = 100
# An engine reads the inputs of a request before its prompt; the prompt takes
# hundreds of milliseconds, the inputs a few.  A shorter delay may release them
# before a busy engine has read them; a longer one keeps the space for results
# occupied in the pool that produced them.
ENGINE_INPUTS_READ_MS = 40
# An instance reads the inputs of a call when it begins, in a few milliseconds
# on its link.
STAGE_INPUTS_READ_MS = 60
# Full calls that wait for each instance from which a pool counts as short of
# space when space limits its calls, and how long it counts as such: a few
# calls, so that a pause between two calls does not end it.
SPACE_SHORTAGE_CALLS = 0.2
SPACE_SHORTAGE_MS = 1_000
# A stage is started as a whole where the results of this many full calls do not
# fit into the result space of an instance.
WHOLE_STAGE_CALLS = 2
# Factor on the sizes of results, which are approximate.
RESULT_SPACE_MARGIN = 1.04

# Gateway: shutdown, retries and the store.

# Time that the platform grants between SIGTERM and SIGKILL.
GATEWAY_GRACE_S = 8.0
# How often a process that is shutting down checks whether it may exit.
SHUTDOWN_POLL_MS = 20
# Time before SIGKILL at which the process exits by itself, so that it logs the
# requests that it aborts; a core may be taken away for a tenth of a second at a
# time.
GATEWAY_STOP_MARGIN_MS = 300
# Time before that in which every request without a response gets one.
GATEWAY_FINAL_RESPONSES_MS = 300
# How long after SIGTERM new streams are accepted: the balancer moves away
# within this time, and a stream lasts for seconds.
GATEWAY_LATE_STREAM_MS = 2_500
# Delay after which a caller refused during shutdown may retry: almost none,
# since its next connection goes to another gateway.
GATEWAY_STOPPING_RETRY_MS = 30
# The balancer checks readiness once a second and moves away after two failed
# checks; one more second covers connections that are opened meanwhile.
GATEWAY_BALANCER_LAG_MS = 3_300
GATEWAY_RETRY_RATIO = 0.2
GATEWAY_RETRY_SLACK = 20.0
# Part of the shared retry budget that gateways use; the rest covers gateways
# that restart with a full bucket or that the others do not know yet.
RETRY_BUDGET_USE = 0.6
# Part of a stage pool's retry budget that the host of its scheduler uses: other
# gateways send nothing to the pool, and two hosts may follow each other within
# one window.
HOST_RETRY_SHARE = 0.5
# The store responds in milliseconds; a call that receives nothing for this long
# uses a dead connection.
STORE_TIMEOUT_MS = 450
# Delay before the second attempt of a lost call.
STORE_RETRY_MS = 50
# Time that the store and another gateway take to respond, transport included.
STORE_RESPONSE_MS = 50
PEER_RESPONSE_MS = 50
# Part of a change's time bound within which a gateway sees the change even if
# one call is lost; the rest allows for a core that is taken away and for
# applying the change.
CHANGE_SEEN_SHARE = 0.65
# Minimum age of its copy at which the first gateway reads the store, as a part
# of the maximum staleness: earlier reads gain nothing where the bound is tight.
MIN_READ_SHARE = 0.4
# Maximum delay between attempts during a store outage, as a part of the bound.
STORE_RETRY_SHARE = 0.2
# Jitter of the reads of gateways that receive nothing from others, as a part of
# the maximum staleness: otherwise they would all read at the same moment.
STALENESS_JITTER = 0.15
# Default bandwidth of an instance's link.
LINK_MBPS = 1_000
# Default time bounds of the installation.
CONFIGURATION_BOUND_MS = 2_000
LEAVING_BOUND_MS = 2_000
DOMAIN_DRAIN_BOUND_MS = 5_000
# Default number of requests that an instance tolerates in one second while it
# warms up: a multiple of its rate, and a fixed number of requests on top.
WARM_UP_BURST_RATIO = 1.0
WARM_UP_BURST_SLACK = 0
# Time between the choice of an instance for a request and the request's
# arrival there.
REQUEST_TRANSIT_MS = 100
MAX_WARM_UPS = 2_000
# Maximum number of instances whose limits are remembered; several times the
# size of a fleet.
MAX_ADVERTISED_LIMITS = 4_096
# How long an advertised limit is valid unless a response repeats it.  Gateways
# that may send probe every few seconds as long as they have callers for the
# pool.
ADVERTISED_LIMIT_TTL_MS = 60_000
# What the platform allows in any window where an instance has advertised a
# limit: a multiple of the limit, and a fixed number of requests on top.
ADVERTISED_LIMIT_WINDOW_MS = 4_000
ADVERTISED_LIMIT_RATIO = 1.5
ADVERTISED_LIMIT_SLACK = 5
# Rate at which an instance that accepts no requests is probed, to find out
# whether it accepts them again.
ADVERTISED_LIMIT_MIN_PER_S = 1 / 60
# Maximum number of limits in one message between gateways, 1.8 KB.  Each
# gateway sends to a few others several times a second; at this rate all limits
# of a fleet of 700 take ten seconds to spread.
MAX_LIMITS_PER_MESSAGE = 16
# How long a limit that has changed is sent before others: a few pings.
CHANGED_LIMIT_PRIORITY_MS = 2_000
INSTANCE_HEARTBEAT_MS = 1_200
# How long keys that the store lost when it was restored from a backup stay
# valid unless they are written again: their writers notice the loss within
# seconds.
RESTORED_RETENTION_MS = 30_000
# Maximum time for which a gateway relies on what others report of the store;
# without this limit a wrong report would be trusted permanently.
STORE_SELF_CHECK_MS = 30_000
# How often subscribers are notified that nothing has changed; records that
# expired in an outage are dropped on this notification.
SUBSCRIBER_NOTIFY_INTERVAL_MS = 250
# Maximum number of removed keys that are remembered for other gateways; a
# gateway that is further behind reads everything.
MAX_REMOVED_KEYS = 1_000
# Maximum size of changes that the response to a ping carries: hundreds of
# gateways ping the same host, whose link may have little bandwidth.
MAX_PING_UPDATE_BYTES = 4_096
# Maximum size of an update that is decompressed: a few times the size of the
# store's largest value and the records of a thousand instances.
MAX_UNPACKED_UPDATE_BYTES = 8_000_000
# Number of gateways that are queried when the store does not respond.
UPDATE_PEERS_QUERIED = 2
# How often all keys are read although their changes are watched, as a guard
# against a change that no watch reports.
STORE_REREAD_MS = 5_000
# Maximum duration of a read of all keys that is repeated for this purpose: a
# change made meanwhile waits for the end of the read, and the link is shared
# with callers.
MAX_STORE_REREAD_MS = 150
# Size up to which changes are read even where all keys take fewer bytes: this
# takes 26 ms at 5 Mbit/s, less than the additional call that it saves.
MIN_STORE_CHANGES_BYTES = 16_384
# Maximum duration of an exchange in which bytes keep arriving.  The largest
# value of the store, 1 MB (1.4 MB as sent), takes 2.2 s at 5 Mbit/s, and four
# times as long beside callers' traffic and another read.
EXCHANGE_LIMIT_MS = 10_000

# Membership of gateways.

# The record of a terminated gateway costs unanswered pings; a record that
# expires while its gateway is alive costs the gateway its schedulers and the
# others a part of the retry budget.  So the lease outlives two lost renewals.
MEMBER_LEASE_MS = 12_000
MEMBER_RENEWAL_MS = 4_000
MEMBER_RETRY_MS = 1_500
# How long a process that exits waits for the store to delete its record; part
# of `GATEWAY_STOP_MARGIN_MS`, and the lease expires by itself.
MEMBER_END_TIMEOUT_MS = 100
# A gateway that has not pinged a host for this long counts as terminated, and
# what its requests hold is released; it pings every 250 ms, and a core may be
# taken away for a tenth of a second at a time.
REQUESTER_TIMEOUT_MS = 1_000
# Interval between pings of a scheduler's host.  A host that does not respond in
# time is replaced; a core may be taken away for a tenth of a second at a time.
HOST_PING_MS = 250
# Number of members ranked after the host of a scheduler whose responsiveness
# should be known, and the maximum number of unresponsive members that are
# pinged for each scheduler at a time.
HOST_CANDIDATES = 2
MAX_UNRESPONSIVE_PINGED = 4
# Bandwidth that a scheduler's messages use per core of CPU time, and the size
# class of gateways that can host next to nothing: 2**-6 of a core.
HOST_MBPS_PER_CORE = 20
HOST_MIN_SIZE_CLASS = -6
HOST_PING_TIMEOUT_MS = 500
PEER_CONNECT_TIMEOUT_MS = 300

# Gateway: attempts.

# Maximum number of streams whose software version is remembered; several times
# those that a gateway relays within the longest time limit of a route.
MAX_STREAM_VERSIONS = 16_384
# Maximum number of peers that are asked for the software version of a stream.
STREAM_ORIGIN_PEERS = 16
# Maximum number of versions of a pool that are recorded; entries of other
# writers may hold any number.
MAX_POOL_VERSIONS = 32
# For how long streams may go on to begin at instances of a version that has
# left the list: at a gateway that is cut off, while the instances still run.
VERSION_AFTERLIFE_MS = 20_000
# How long the other gateways leave a change of the recorded versions to the
# one that is responsible for it.
VERSION_TAKEOVER_MS = 1_500
# Writes and streams a second, of all gateways together, that record which
# version began a stream while a pool has several, and the shortest interval of
# one gateway.
STREAM_SEGMENT_WRITES_PER_S = 40
STREAM_SEGMENT_STREAMS_PER_S = 400
STREAM_SEGMENT_MIN_INTERVAL_MS = 100
# A segment is rewritten until it holds so many streams or is so old.
STREAM_SEGMENT_SIZE = 32
STREAM_SEGMENT_OPEN_MS = 10_000
# Reads of the store a second, of all gateways together, on behalf of callers
# that resume streams.  A record of versions is small, one of streams holds
# all that began lately.
RESUME_VERSION_READS_PER_S = 800
RESUME_STREAM_READS_PER_S = 200
# Longest wait for such a read.
RESUME_READ_LIMIT_MS = 1_000
# For how long an own record of versions counts that was not read since.
VERSION_WRITE_UNREAD_MS = 10_000
# For how long streams do not begin at a version that is not recorded, while no
# instance of a recorded one is left.
UNRECORDED_VERSION_WAIT_MS = 3_000
# A live machine accepts within milliseconds on these networks.
UPSTREAM_CONNECT_TIMEOUT_MS = 300
# Engines close idle connections; a connection that was idle for longer than
# this is not reused, since a request sent while the engine closes is lost.
UPSTREAM_IDLE_MS = 2_000
# Part of the remaining time that a repeatable attempt may take while another
# attempt could still follow.
ATTEMPT_TIME_SHARE = 0.5
# A stage call that takes this multiple of its expected time is slow: its pieces
# are also tried on another instance.
PIECE_CALL_SLOW_FACTOR = 2.5
# A stage call that takes this multiple of its expected time makes the gateway
# query its instance; call times are accurate to about a tenth.
PIECE_CALL_OVERDUE_FACTOR = 1.25
# Delay between two such queries: about one call.
PIECE_CALL_PROBE_MS = 300
# How long a response may still be in transit from an instance that is idle.
PIECE_RESPONSE_GRACE_MS = 50
# A stage call that takes this long is not expected to be answered any more.
PIECE_CALL_TIMEOUT_MS = 6_000
PIECE_ATTEMPTS = 3
SCHEDULER_TICK_MS = 50
# Minimum delay after which a refused caller may retry; a jitter of a half keeps
# callers that are refused together from returning together.
GATEWAY_RETRY_AFTER_MS = 400
RETRY_AFTER_JITTER = 0.5
# Size of the data exchanged with neighbouring stages from which a stage's
# pieces wait for a local instance; a smaller result crosses the network in a
# fraction of a millisecond.
LOCALITY_MIN_BYTES = 200_000
# Part of a piece's slack that it may wait for an instance local to the consumer
# of its result.  A smaller part moves more results between domains; a larger
# one uses up slack that later stages need, and more responses are late for
# little saved traffic.
LOCALITY_WAIT_SHARE = 0.3
# Longest such wait of a piece whose inputs take space that is short.
LOCALITY_SHORT_WAIT_MS = 60

# Maximum number of instances that are remembered as shutting down; a fleet
# replaces fewer while their records can still be listed.
MAX_LEAVING_INSTANCES = 4_096
# How long other gateways are notified of an instance that is shutting down: by
# then the store has its record, or its outage has lasted longer than instances
# take to shut down.
LEAVING_NOTIFY_MS = 60_000

# Gateway: requests that crash instances.

# Number of crashes while a request was running, without a success since, from
# which the request is quarantined.
QUARANTINE_CRASHES = 2
# The same for a prompt part that has never succeeded.  It is more than for a
# request, since many requests share a part and all of them are then refused.
QUARANTINE_PART_CRASHES = 3
# The same for a prompt part that has succeeded before, such as a template that
# all requests of a route have.
QUARANTINE_SOUND_PART_CRASHES = 4
# Crashes within this time count once against a part: an outage ends several
# instances at once, a harmful part one after the other.
COINCIDENT_CRASHES_MS = 250
# Duration of a quarantine after the last crash, doubled with each further
# crash.
QUARANTINE_MS = 300_000
QUARANTINE_DOUBLINGS_LIMIT = 3
# Differences of a quarantine's end up to this are due to the way of messages.
QUARANTINE_TOLERANCE_MS = 1_000
# The same for a prompt part that has never succeeded, and for one that has.  A
# part that is quarantined by mistake cannot succeed meanwhile.
PART_QUARANTINE_MS = 60_000
SOUND_PART_QUARANTINE_MS = 30_000
# Maximum number of prompt parts whose attempts and successes are remembered.
MAX_TRACKED_HISTORIES = 4_096
# Of so many that were used least recently, the one with the fewest attempts is
# forgotten: parts that are made up are used once.
HISTORY_CANDIDATES = 16
# Maximum lease that the store grants; a record that expires before its
# quarantine is missed only if all gateways terminate at once after that.
MAX_LEASE_MS = 600_000
# Maximum number of requests and prompt parts that are remembered: several
# crashes of instances with every slot in use.
MAX_CRASH_RECORDS = 4_096
# Maximum number of prompt parts of a request that are tracked; callers send
# less than ten.
MAX_TRACKED_PARTS = 256
# Maximum number of parts of a request that are compared with each other, since
# each is listed with all others.
MAX_COMPANIONS = 32
# How often expired crash evidence is removed.
EVIDENCE_CLEANUP_INTERVAL_MS = 10_000
# Maximum number of reports in one message between gateways; the rest follows
# with the next ping.
MAX_EVIDENCE_REPORTS = 256
# How long a crashed incarnation is remembered: longer than the records of a
# terminated instance stay listed.
CRASHED_INCARNATION_TTL_MS = 30_000

# Logs: a process serves some tens of requests a second and writes two or three
# lines for each; lines above this rate are counted and dropped.
LOG_LINES_PER_S = 400.0
LOG_BUFFER_BYTES = 262_144

# Allocations between two collections of the youngest generation; most objects
# are freed by reference counting.
COLLECTION_THRESHOLD = 20_000

# The event loop.

# Time between two checks that the loop runs, delay from which it is logged, and
# processor time between two samples of what is running.
LOOP_BEAT_MS = 200
LOOP_STALL_MS = 250
LOOP_SAMPLE_MS = 100
# Number of calls in the log line of a stall.
LOOP_STALL_CALLS = 5
