/** The messages that a prompt is sent as. */
export default function toMessages(prompt: string): { role: string; content: string }[] {
  return [{ role: 'user', content: prompt }];
}
