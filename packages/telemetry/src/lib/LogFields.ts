/** Named values of a log line. */
type LogFields = Readonly<Record<string, string | number | boolean | null | undefined>>;

export default LogFields;
