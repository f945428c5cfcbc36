import allowsBody from './allowsBody.js';

/**
 * Whether an answer has a body that ends with its connection, so that the end of the target looks like the
 * end of the answer.
 * @param framed Whether the answer has a length or is chunked.
 */
export default function endsWithConnection(method: string, status: number, framed: boolean): boolean {
  return !framed && allowsBody(method, status);
}
