/** Body of a chat call of the tests. */
interface ChatCallBody {
  readonly model: string;
  readonly messages: readonly { readonly role: string; readonly content: string }[];
  readonly max_tokens: number;
  readonly stream: boolean;
}

/** A chat call to service `letters`. */
export default function chatCall(
  prompt: string,
  tokens: number,
  stream = false,
): { readonly path: string; readonly body: ChatCallBody } {
  return {
    path: '/v1/chat/completions',
    body: {
      model: 'letters', messages: [{ role: 'user', content: prompt }], max_tokens: tokens, stream,
    },
  };
}
