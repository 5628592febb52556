Feature: Settings are checked before anything starts

  Scenario Outline: <what> stops the daemon with one clear line
    When ragworthd is started with <what>
    Then it ends with exit code 2 and one line with <id> and <words>

    Examples:
      | what                        | id            | words        |
      | a file that does not exist  | settings.E001 | settings     |
      | text that is not YAML       | settings.E002 | settings     |
      | an unknown field            | settings.E003 | dealine      |
      | a wrong unit                | settings.E003 | lease_ttl_ms |
      | no address                  | settings.E003 | listen       |
      | a sidecar without upstream  | settings.E004 | sidecar      |
      | a platform without a scheme | settings.E005 | kv_url       |
      | a short cluster key         | settings.E006 | cluster_key  |
      | a very short lease          | settings.E007 | lease_ttl_ms |
      | an impossible port          | settings.E008 | listen.port  |
      | a port in use               | settings.E009 | listen.port  |
