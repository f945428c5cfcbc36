/** Named values of a log line. Undefined values are omitted. */
type LogFields = Readonly<Record<string, string | number | boolean | null | undefined>>;

export default LogFields;
