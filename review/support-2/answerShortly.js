/** Writes the short answer of a plain worker. */
export default function answerShortly(_incoming, outgoing) {
  outgoing.writeHead(200, { 'content-length': 2, 'dandelionlane-server-seal': 'seal' }).end('ok');
}
