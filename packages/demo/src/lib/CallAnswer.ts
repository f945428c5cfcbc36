/** Status and text of an answer. */
export default interface CallAnswer {
  readonly status: number;
  readonly text: string;
}
