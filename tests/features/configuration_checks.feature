Feature: Configuration is checked before it is applied

  Scenario Outline: <id> is reported
    Given the configuration of kingston
    And a further file with <what>
    Then the checks report <id> with the name of the file

    Examples:
      | id          | what                                   |
      | config.E001 | text that is not YAML                  |
      | config.E002 | an unknown field                       |
      | config.E002 | a deadline that is a word              |
      | config.E003 | no owner                               |
      | config.E004 | another owner's pool                   |
      | config.E005 | a key that is no hash                  |
      | config.E006 | a key that another organisation has    |
      | config.E007 | a guarantee above one                  |
      | config.E008 | guarantees of more than everything     |
      | config.E009 | a pipeline of an unknown organisation  |
      | config.E010 | a pipeline without stages              |
      | config.E011 | a worth of zero                        |
      | config.E012 | a deadline of zero                     |
      | config.E013 | a stage of an unknown pool             |
      | config.E014 | an unknown adapter                     |
      | config.E015 | two stages that are not repeatable     |
      | config.E016 | a model that its pool does not carry   |
      | config.E017 | a pool of no concurrency               |
      | config.E018 | a pool of an unknown model             |
      | config.E019 | a stage behind one that is not repeatable |
      | config.W001 | very many comments                     |

  Scenario: An owner allows an override
    Given the configuration of kingston
    And its first file allows pools.gin-sync to be overridden
    And a further file with another owner's pool
    Then the checks report nothing and the pool comes from the further file

  Scenario: Files merge in the order of their names
    When any two files of one owner are merged in any order
    Then the later name decides
