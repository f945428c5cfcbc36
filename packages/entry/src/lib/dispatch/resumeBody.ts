/**
 * Body of a chat request that goes on after the tokens already delivered. The
 * original body was checked to be a JSON object.
 */
export default function resumeBody(body: Buffer, deliveredTokens: number): Buffer {
  if (deliveredTokens === 0) {
    return body;
  }
  const parsed = JSON.parse(body.toString('utf8')) as object;
  return Buffer.from(JSON.stringify({ ...parsed, resume: { deliveredTokens } }));
}
