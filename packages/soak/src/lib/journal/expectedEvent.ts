/** One event of the stream that answers a request. */
export default function expectedEvent(requestId: string, index: number): string {
  return `id: ${index}\ndata: ${requestId} event ${index}\n\n`;
}
