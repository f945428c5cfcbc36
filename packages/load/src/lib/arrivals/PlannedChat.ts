import type { Priority } from '@dandelionlane/core';

/** A chat completion to be sent. */
export default interface PlannedChat {
  readonly kind: 'chat';
  readonly prompt: string;
  readonly maximumTokens: number;
  readonly stream: boolean;
  readonly priority: Priority;
}
