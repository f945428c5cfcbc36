const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/**
 * Whether an answer has a body that ends with its connection, so that the end of the target looks like the
 * end of the answer.
 * @param framed Whether the answer has a length or is chunked.
 */
export default function endsWithConnection(method: string, status: number, framed: boolean): boolean {
  return !framed && method !== 'HEAD' && status !== NO_CONTENT && status !== NOT_MODIFIED;
}
