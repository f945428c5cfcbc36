/** Events of a stream, from one id to another. */
export default function createEvents(from: number, to: number): string {
  return Array.from({ length: to - from + 1 }, (_, index) => `id: ${from + index}\ndata: e\n\n`).join('');
}
