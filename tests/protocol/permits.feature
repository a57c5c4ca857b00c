Feature: Questions for permits between two builds

  # Guards against an owner of an older build that rejects the question, or
  # grants permits without any limit, since it knows nothing of cold endpoints.
  Scenario Outline: The rate of a cold endpoint reaches every build
    Then a question with a named rate of <named> and a cold rate of <cold> is read at level <level> as <read_named> and <read_cold>

    Examples:
      | named | cold | level | read_named | read_cold |
      | none  | 0    | 0     | none       | 0         |
      | none  | 15   | 0     | 15         | 0         |
      | 2.4   | 15   | 0     | 2.4        | 0         |
      | 20    | 15   | 0     | 15         | 0         |
      | 0     | 15   | 0     | 0          | 0         |
      | none  | 15   | 1     | none       | 15        |
      | 2.4   | 15   | 1     | 2.4        | 15        |

  Scenario: A malformed rate of a cold endpoint is refused
    Then a question with a cold rate below 0 is refused
