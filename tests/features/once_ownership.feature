Feature: Ownership of idempotency keys
  A repeated request must never cause its effect twice, whatever happened to the
  process that ran it first.

  Scenario: No order of events runs a key twice
    # A caller's custody entry was recorded twice: sidecars crash, freeze and
    # lose the platform in any order until two of them consider themselves the
    # owner of a key. Hypothesis explores the orders.
    Given the protocol with all its guards
    When 120 random orders of events are explored
    Then no key has run twice

  Scenario: The exploration finds a double run without key creation times
    # The owner of a key records an entry and is killed; its successor has no
    # memory of it. Unless the successor compares the key's creation time with
    # the start of its own ownership, it runs the repeated request.
    Given the protocol without checks_birth
    When 400 random orders of events are explored
    Then a key has run twice

  Scenario Outline: A guard is needed and holds
    # <story>
    Given the protocol <variant>
    When <events>
    Then <verdict>

    Examples: the owner goes on without the platform on its peers' promises
      | variant                  | events                                | verdict             | story                                            |
      | without checks_promises  | an owner loses the platform for long  | a key has run twice | A peer forgets its promise and takes over.       |
      | with all its guards      | an owner loses the platform for long  | no key has run twice| The peer keeps its promise.                      |

    Examples: a restarted peer has forgotten its promise
      | variant                  | events                                | verdict             | story                                            |
      | without checks_newcomers | a peer restarts while an owner is cut | a key has run twice | The restarted peer takes over at once.           |
      | with all its guards      | a peer restarts while an owner is cut | no key has run twice| It waits, since the owner cannot know of it.     |

    Examples: memory is lost
      | variant                  | events                                | verdict             | story                                            |
      | without checks_birth     | the owner of a key is killed          | a key has run twice | The successor runs the repeat.                   |
      | with all its guards      | the owner of a key is killed          | no key has run twice| The successor says that it cannot know.          |

  Scenario: A frozen owner resumes after its successor has taken over
    # A sidecar decides to run a key and is frozen before it forwards the
    # request. Its lease expires, a peer takes over and the caller retries. Then
    # the sidecar resumes.
    Given the protocol with all its guards
    When an owner freezes between its decision and the hand-over
    Then no key has run twice

  Scenario: A write whose response was lost takes effect late
    # An owner hands ranges over, and the response to its write is lost while
    # the write is still in transit. If the owner ran a key of these ranges
    # meanwhile, the next owner would not know of it.
    Given an owner whose handover is still in transit
    When the owner is asked for keys of these ranges
    Then it refuses them until the record has changed

  Scenario: The platform is unavailable while members know different records
    # A peer has just rejoined and not every member has read its record when the
    # platform becomes unavailable. Each member refused the other's promise
    # because their records differed, and every key of the pool was refused
    # until the platform was available again.
    Given members that know different records
    When the platform is unavailable for long
    Then each member is still sure that it owns its keys
