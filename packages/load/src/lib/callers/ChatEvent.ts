import type { Problem } from '@dandelionlane/core';

/** One event of a chat stream, as far as a caller needs it. */
type ChatEvent = | { readonly kind: 'token'; readonly text: string }
  | { readonly kind: 'stop' }
  | { readonly kind: 'done' }
  | { readonly kind: 'problem'; readonly problem: Problem }
  | { readonly kind: 'unknown' };

export default ChatEvent;
