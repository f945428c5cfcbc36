/** What an event of a chat stream is to the relay. `index`: position of its token, if the engine gives it. */
type ChatEvent = | { readonly kind: 'token'; readonly index: number | null }
  | { readonly kind: 'finish' }
  | { readonly kind: 'done' }
  | { readonly kind: 'other' };

export default ChatEvent;
