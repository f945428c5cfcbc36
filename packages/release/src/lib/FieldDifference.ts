/** One field of a service definition that differs. A value of undefined is absent. */
export default interface FieldDifference {
  /** Keys from the definition to the field, joined by dots. */
  readonly field: string;
  readonly before: unknown;
  readonly after: unknown;
}
