/**
 * Loaded into an entry process before its program: its connections on the loopback network come
 * from an address of its own, so that links can tell entries apart, as the network of VMs can.
 */
import { Socket } from 'node:net';

const LOOPBACK = '127.0.0.1';
const localAddress = process.env.SOAK_SOURCE_ADDRESS;
const { connect } = Socket.prototype;

Socket.prototype.connect = function connectFromSource(...parameters) {
  const [first] = parameters;
  const options = Array.isArray(first) ? first[0] : first;
  if (localAddress !== undefined && options?.host === LOOPBACK) {
    options.localAddress ??= localAddress;
  }
  return connect.apply(this, parameters);
};
