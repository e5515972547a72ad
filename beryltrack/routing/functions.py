"""Names that may precede a parenthesis in a read-only statement.

A statement counts as a read only if every function in it is known to have no side
effect. The list holds functions of PostgreSQL that are immutable, stable, or volatile
without a side effect, such as ``random``. A statement with a function that is missing
here runs on the primary.
"""

_AGGREGATES = """
array_agg avg bit_and bit_or bit_xor bool_and bool_or corr count covar_pop
covar_samp cume_dist dense_rank every first_value grouping json_agg
json_object_agg jsonb_agg jsonb_object_agg lag last_value lead max min mode
nth_value ntile percent_rank percentile_cont percentile_disc range_agg rank
regr_avgx regr_avgy regr_count regr_intercept regr_r2 regr_slope row_number
stddev stddev_pop stddev_samp string_agg sum var_pop var_samp variance xmlagg
"""

_NUMBERS = """
abs acos asin atan atan2 cbrt ceil ceiling cos cot degrees div exp factorial
floor gcd lcm ln log log10 mod pi power pow radians random round scale sign sin
sqrt tan trim_scale trunc width_bucket
"""

_TEXT = """
ascii bit_length btrim char_length character_length chr concat concat_ws convert
convert_from convert_to decode encode format initcap left length lower lpad
ltrim md5 normalize octet_length overlay parse_ident position quote_ident
quote_literal quote_nullable regexp_count regexp_instr regexp_like regexp_match
regexp_matches regexp_replace regexp_split_to_array regexp_split_to_table
regexp_substr repeat replace reverse right rpad rtrim sha224 sha256 sha384
sha512 similarity split_part starts_with string_to_array string_to_table strpos
substr substring to_hex to_tsquery to_tsvector translate trim ts_headline
ts_rank ts_rank_cd unaccent unistr upper plainto_tsquery phraseto_tsquery
websearch_to_tsquery word_similarity
"""

_TIMES = """
age clock_timestamp current_date current_time current_timestamp date_bin
date_part date_trunc extract isfinite justify_days justify_hours
justify_interval localtime localtimestamp make_date make_interval make_time
make_timestamp make_timestamptz now statement_timestamp timeofday to_char
to_date to_number to_timestamp transaction_timestamp
"""

_VALUES = """
array_append array_cat array_dims array_fill array_length array_lower
array_ndims array_position array_positions array_prepend array_remove
array_replace array_to_json array_to_string array_upper cardinality coalesce
gen_random_uuid generate_series generate_subscripts greatest isempty
json_array_elements json_array_elements_text json_array_length json_build_array
json_build_object json_each json_each_text json_extract_path
json_extract_path_text json_object json_object_keys json_populate_record
json_populate_recordset json_strip_nulls json_to_record json_to_recordset
json_typeof jsonb_array_elements jsonb_array_elements_text jsonb_array_length
jsonb_build_array jsonb_build_object jsonb_each jsonb_each_text
jsonb_extract_path jsonb_extract_path_text jsonb_object jsonb_object_keys
jsonb_path_exists jsonb_path_match jsonb_path_query jsonb_path_query_array
jsonb_path_query_first jsonb_pretty jsonb_set jsonb_strip_nulls
jsonb_to_record jsonb_to_recordset jsonb_typeof least lower_inc multirange
nullif num_nonnulls num_nulls row_to_json to_json to_jsonb unnest upper_inc
uuid_generate_v4 xmlelement xmlforest
"""

_CATALOG = """
col_description current_catalog current_database current_schema current_schemas
current_setting current_user format_type has_column_privilege
has_database_privilege has_function_privilege has_schema_privilege
has_sequence_privilege has_table_privilege inet_client_addr inet_server_addr
obj_description pg_column_size pg_conf_load_time pg_database_size
pg_encoding_to_char pg_get_constraintdef pg_get_expr pg_get_function_arguments
pg_get_function_result pg_get_functiondef pg_get_indexdef pg_get_keywords
pg_get_ruledef pg_get_serial_sequence pg_get_triggerdef pg_get_userbyid
pg_get_viewdef pg_has_role pg_indexes_size pg_is_in_recovery
pg_postmaster_start_time pg_relation_size pg_size_pretty
pg_table_is_visible pg_table_size pg_total_relation_size pg_type_is_visible
pg_typeof session_user shobj_description to_regclass to_regtype version
"""

_TYPES = """
bigint bit bool boolean box char character cidr circle date decimal float float4
float8 int int2 int4 int8 integer interval line lseg money name numeric oid path
point polygon real smallint text time timestamp timestamptz timetz varbit
varchar varying xml
"""

READ_ONLY_FUNCTIONS = frozenset(
    " ".join((_AGGREGATES, _NUMBERS, _TEXT, _TIMES, _VALUES, _CATALOG, _TYPES)).split()
)
"""Functions without a side effect, and types, whose names also serve as casts."""

OPENING_KEYWORDS = frozenset(
    """
    all and any array as asc between case cast desc distinct else except exists
    from group having in intersect lateral limit not offset on or order row
    select some then union using values when where with
    """.split()
)
"""Reserved keywords that may precede a parenthesis; they cannot name a function."""

OPERAND_KEYWORDS = frozenset("filter ilike join like over".split())
"""Keywords before a parenthesis only after an operand; elsewhere they are names."""

PAIRED_KEYWORDS = frozenset(
    (
        ("by", "group"),
        ("by", "order"),
        ("by", "partition"),
        ("join", "cross"),
        ("join", "full"),
        ("join", "inner"),
        ("join", "left"),
        ("join", "outer"),
        ("join", "right"),
        ("like", "not"),
        ("ilike", "not"),
        ("materialized", "as"),
        ("materialized", "not"),
        ("sets", "grouping"),
    )
)
"""Keywords before a parenthesis, each with the keyword that must precede it."""

ALIAS_KEYWORDS = frozenset("as with recursive".split())
"""Keywords after which a name before a parenthesis is an alias with its columns."""

SESSION_LOCKS = frozenset(
    """
    pg_advisory_lock pg_advisory_lock_shared pg_advisory_unlock
    pg_advisory_unlock_all pg_advisory_unlock_shared pg_try_advisory_lock
    pg_try_advisory_lock_shared
    """.split()
)
"""Functions on session-level advisory locks, which last until the connection ends."""

SET_CONFIG = "set_config"
"""The function that changes a setting, for the transaction or the session."""
