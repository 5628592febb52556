@each.daemon_service
@each.log_lines
Feature: Records of other writers end no entry and no sidecar

  Scenario Outline: The list of instances has <change>
    # Guards against one entry that ends the processes that read the list, or
    # keeps them from following it.
    Given an entry and a sidecar that own the keys of a pool
    When another writer lists <change>, and instances come and leave
    Then both list the new instance, and not the odd one
    And both apply the next configuration, and no loop has failed
    And a sidecar that starts now lists the new instance as well

    Examples:
      | change                               |
      | 100 levels as a whole                |
      | 1,000 levels as a whole              |
      | 100,000 levels as a whole            |
      | 100 levels as address                |
      | 1,000 levels as address              |
      | 100,000 levels as unknown            |
      | 1e400 as a whole                     |
      | 5,000 digits as failure_domain       |
      | null as pool                         |
      | {} as a whole                        |
      | "resting" as state                   |
      | "127.0.0.1:0" as address             |
      | "127.0.0.1:65536" as address         |
      | "127.0.0.1:-1" as address            |
      | "127.0.0.1:" as address              |
      | "127.0.0.1:5,000 digits" as address  |
      | "" as address                        |
      | "..:80" as address                   |
      | "70 digits:80" as address            |

  Scenario: Thousands of entries cannot be read
    # Guards against a list whose reading keeps other work waiting, and against
    # logs that grow with the number of entries.
    Given an entry and a sidecar that own the keys of a pool
    When another writer lists 20000 odd entries, and instances come and leave
    Then both list the new instance, and not the odd one
    And they are logged in one line for each process and list
    And other work got its turn while such a list was decoded

  Scenario Outline: The store has <change> of a member at <key>
    # Guards against a record of another writer that ends the renewal of a
    # sidecar's ownership for good.
    Given an entry and a sidecar that own the keys of a pool
    When another writer stores <change> of a member at <key> for 3 reads
    Then no loop has failed, and the sidecar is sure of its keys once it is gone

    Examples:
      | change                     | key         |
      | 1,000 levels as a whole    | members/odd |
      | 100,000 levels as unknown  | members/odd |
      | 1e400 as unknown           | members/odd |
      | "..:80" as address         | members/odd |
      | 1,000 levels as a whole    | assignment  |
      | 1e400 as epoch             | assignment  |

  Scenario: The store has an odd assignment and many odd members
    # Guards against a log that grows with each record and each read.
    Given an entry and a sidecar that own the keys of a pool
    When another writer stores 1000 odd members for 9 reads
    And another writer stores 1e400 as epoch of a member at assignment for 3 reads
    Then they are logged in at most 25 lines
    And no loop has failed, and the sidecar is sure of its keys once it is gone

  Scenario Outline: The assignment has <change>
    # Guards against an assignment that no sidecar has written, after which the
    # keys of a pool have no owner for good, or run although they have run.
    Given an entry and a sidecar that own the keys of a pool
    When another writer has <change> in the assignment while a sidecar starts
    Then the pool is shared by both sidecars once it is back

    Examples:
      | change                       |
      | 9223372036854775807 as epoch |
      | -1 as epoch                  |
      | {} as a whole                |
      | [] as ranges                 |
      | [] as members                |

  Scenario Outline: The store has <change> of the manifest
    # Guards against a manifest that ends the processes that read it, or keeps
    # them from following the configuration for good.
    Given an entry and a sidecar that own the keys of a pool
    When another writer replaces the manifest by <change> for 3 reads
    Then a sidecar starts, and a change is refused for the manifest
    And all apply the next configuration once the manifest is back

    Examples:
      | change                            |
      | 1,000 levels as a whole           |
      | 1e400 as generation               |
      | {} as files                       |
      | 9223372036854775807 as generation |
      | -1 as generation                  |
      | 0 as generation                   |
      | {} as a whole                     |
      | [] as history                     |

  Scenario: The manifest lists a file that is missing
    # Guards against a generation that is passed over without a trace.
    Given an entry and a sidecar that own the keys of a pool
    When another writer lists a file in the manifest that is missing
    Then the generation is logged as refused
    And all apply the next configuration once the manifest is back

  Scenario Outline: The store has <change> of the budget of model loads
    # Guards against a record that ends the loop which orders models, or keeps
    # every engine from loading one for good.
    Given an entry and a sidecar that own the keys of a pool
    When another writer stores <change> of the budget of model loads
    Then no load is granted for a minute, and 2 of 3 are after that

    Examples:
      | change                              |
      | 1,000 levels as a whole             |
      | 1e400 as used                       |
      | -1 as used                          |
      | 4102444800000 as started_ms         |

  Scenario Outline: A generation is announced with the address <address>
    # Guards against an address that gives an error of the process which is
    # told it.
    Given an entry and a sidecar that own the keys of a pool
    When a generation is announced to both with the address <address>
    Then both answer 400

    Examples:
      | address         |
      | ..:80           |
      | 127.0.0.1:99999 |
      | 127.0.0.1       |

  Scenario Outline: The member key of a sidecar is <change> when it starts
    # Guards against a record that ends the loop which acquires the key.
    Given an entry and a sidecar that own the keys of a pool
    When a sidecar starts whose key is <change> for 3 reads
    Then no loop has failed, and the sidecar owns keys once it is gone

    Examples:
      | change                     |
      | 1,000 levels as a whole    |
      | 1e400 as incarnation       |
