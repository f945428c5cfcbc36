import { isIPv4 } from 'node:net';
import { z } from 'zod';

const ADDRESS_PATTERN = /^([^:]{1,253}):([1-9]\d{0,4})$/;

const HOST_NAME_PATTERN = /^(?!-)[\w-]{1,63}(?<!-)(\.(?!-)[\w-]{1,63}(?<!-))*$/;

/** Names that end like this are parsed as IPv4 addresses in URLs. */
const NUMERIC_END_PATTERN = /(^|\.)(\d+|0[xX][0-9A-Fa-f]*)$/;

const MAXIMUM_PORT = 65_535;

function isHost(host: string): boolean {
  return isIPv4(host) || (HOST_NAME_PATTERN.test(host) && !NUMERIC_END_PATTERN.test(host));
}

function isAddress(text: string): boolean {
  const [, host, port] = ADDRESS_PATTERN.exec(text) ?? [];
  return host !== undefined && isHost(host) && Number(port) <= MAXIMUM_PORT
    && URL.canParse(`http://${text}`);
}

/** Host and port of a server that can be connected to: `host:port`, with an IPv4 address or a host name. */
const NetworkAddress = z.string().refine(isAddress, 'expected host:port');

export default NetworkAddress;
