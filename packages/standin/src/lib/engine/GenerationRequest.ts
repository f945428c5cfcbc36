import type { Priority } from '@dandelionlane/core';

/** Tokens to be generated for one request. */
export default interface GenerationRequest {
  readonly firstToken: number;
  /** One past the last token. */
  readonly endToken: number;
  readonly prefillTokens: number;
  readonly priority: Priority;
  readonly signal: AbortSignal;
  onToken(position: number): void;
}
