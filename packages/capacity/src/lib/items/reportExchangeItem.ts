import { once } from 'node:events';
import { Agent, createServer, get } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import createReport from '../createReport.js';
import type MeasuredItem from '../MeasuredItem.js';

const EXCHANGES = 2_000;
const WARM_UP_EXCHANGES = 500;

/** Requests of one report after another over a kept connection; returns the bytes of the connection. */
async function exchange(port: number, agent: Agent, count: number): Promise<number> {
  let socket: Socket | undefined;
  let before = 0;
  for (let number = 0; number < count; number += 1) {
    const request = get({
      host: '127.0.0.1', port, path: '/v1/report', agent,
    });
    const [response] = await once(request, 'response');
    if (socket === undefined) {
      socket = response.socket as Socket;
      before = number === 0 ? 0 : socket.bytesRead;
    }
    response.resume();
    await once(response, 'end');
  }
  return (socket?.bytesRead ?? 0) + (socket?.bytesWritten ?? 0) - before;
}

/** A report asked for over HTTP on loopback: bytes on the connection and processor time of both ends. */
const reportExchangeItem: MeasuredItem = {
  name: 'VM report over HTTP',
  async measure() {
    const body = JSON.stringify(createReport(1));
    const server = createServer((_request, response) => {
      response.setHeader('content-type', 'application/json').end(body);
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const { port } = server.address() as AddressInfo;
    const warmUpAgent = new Agent({ keepAlive: true, maxSockets: 1 });
    await exchange(port, warmUpAgent, WARM_UP_EXCHANGES);
    warmUpAgent.destroy();
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const before = process.cpuUsage();
    const bytes = await exchange(port, agent, EXCHANGES);
    const { user, system } = process.cpuUsage(before);
    agent.destroy();
    server.close();
    return [
      { name: 'reportExchange.bytes', value: bytes / EXCHANGES, unit: 'B' },
      { name: 'reportExchange.bothEnds', value: (user + system) / EXCHANGES, unit: 'us' },
    ];
  },
};

export default reportExchangeItem;
