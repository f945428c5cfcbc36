import type { Problem } from '@dandelionlane/core';

/** An answer that was read whole, or as far as it came. */
export default interface Answer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly text: string;
  /** Whether the connection broke before the answer's end. */
  readonly broken: boolean;
  /** The problem document, if the answer is one. */
  readonly problem: Problem | null;
}
