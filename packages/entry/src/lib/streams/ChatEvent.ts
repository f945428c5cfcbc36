/** Classification of a chat stream event. `index`: position of its token, if the engine provides it. */
type ChatEvent = | { readonly kind: 'token'; readonly index: number | null }
  | { readonly kind: 'finish' }
  | { readonly kind: 'done' }
  | { readonly kind: 'other' };

export default ChatEvent;
