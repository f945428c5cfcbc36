const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/** Whether the answer to a request may have a body. */
export default function allowsBody(method: string, status: number): boolean {
  return method !== 'HEAD' && status !== NO_CONTENT && status !== NOT_MODIFIED;
}
