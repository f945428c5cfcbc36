/**
 * Body of a chat request that resumes after the tokens already delivered. The
 * original body has been validated as a JSON object.
 */
export default function resumeBody(body: Buffer, deliveredTokens: number): Buffer {
  if (deliveredTokens === 0) {
    return body;
  }
  const parsed = JSON.parse(body.toString('utf8')) as object;
  return Buffer.from(JSON.stringify({ ...parsed, resume: { deliveredTokens } }));
}
