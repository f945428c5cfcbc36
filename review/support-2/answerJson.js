export default function answerJson(outgoing, status, value, headers = {}) {
  const body = Buffer.from(JSON.stringify(value));
  outgoing.writeHead(status, { 'content-type': 'application/json', 'content-length': body.length, ...headers });
  outgoing.end(body);
}
