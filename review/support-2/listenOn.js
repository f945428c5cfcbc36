import { HOST } from './constants.js';

/** Makes a server listen; resolves to its port. */
export default function listenOn(server, port) {
  return new Promise((done, fail) => {
    server.once('error', fail);
    server.listen(port, HOST, () => done(server.address().port));
  });
}
