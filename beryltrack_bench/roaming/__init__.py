"""psycopg sessions that switch between proxies under faults and check all answers."""
