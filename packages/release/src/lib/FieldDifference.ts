/** A field that differs between two service definitions. An undefined value means that it is absent. */
export default interface FieldDifference {
  /** Path of keys from the definition to the field, joined by dots. */
  readonly field: string;
  readonly before: unknown;
  readonly after: unknown;
}
