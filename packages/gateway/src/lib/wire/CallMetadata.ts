import type { ModelName, PromptPartId } from '@dandelionlane/core';

/** Decoded headers of a request. Null: absent or not readable. */
export default interface CallMetadata {
  /** Identifies this attempt of the caller. */
  readonly requestId: string | null;
  /** How long the caller will wait, in ms. */
  readonly deadlineMilliseconds: number | null;
  readonly apiKey: string | null;
  readonly model: ModelName | null;
  readonly promptTokens: number;
  /** Upper bound of the tokens that the request may generate. */
  readonly maximumOutputTokens: number;
  /** Parts of the prompt without the last one, which belongs to this request or its session. */
  readonly sharedPromptParts: readonly PromptPartId[];
  /** Executions that count as used, as another entry states; means nothing in requests of callers. */
  readonly earlierExecutions: number;
  /**
   * Whether a target may have run it before, as another entry states; null where it states nothing, as one of
   * an earlier build. Means nothing in requests of callers.
   */
  readonly mayHaveRun: boolean | null;
  /** Id of the last event that the caller has received of a stream that it resumes. */
  readonly lastEventId: string | null;
}
