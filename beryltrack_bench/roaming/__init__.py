"""A psycopg program that roams between proxies under faults and checks all answers."""
