Feature: The operators' command trusts a private authority that it is told of

  Scenario Outline: A certificate of a private authority
    An operator's first command against daemons behind TLS ended with a bare
    library message that told neither what was trusted nor what to do.
    The cause was that the reason was lost among the errors of the connection.

    Given an administration face with a certificate of a private authority
    When the command asks it with <options> and <variable> = <file>
    Then the command ends with <code> and says "<message>"

    Examples:
      | options     | variable               | file  | code | message |
      | --ca own    | NOTHING                | none  | 0    | draft-0 |
      | no option   | KNAPWEEDBRIDGE_CA      | own   | 0    | draft-0 |
      | no option   | KNAPWEEDBRIDGE_CA_FILE | own   | 0    | draft-0 |
      | --ca own    | KNAPWEEDBRIDGE_CA      | other | 0    | draft-0 |
      | no option   | NOTHING                | none  | 5    | its certificate does not verify against the system's authorities: unable to get local issuer certificate; name the authority's file with --ca |
      | --ca other  | NOTHING                | none  | 5    | other.pem: unable to get local issuer certificate |
      | no option   | KNAPWEEDBRIDGE_CA      | other | 5    | other.pem: unable to get local issuer certificate |
      | --ca absent | NOTHING                | none  | 64   | absent.pem: [Errno 2] |
