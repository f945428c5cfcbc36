import { expect, test } from 'vitest';
import LeaseRecord from '../lib/records/LeaseRecord.js';
import NetworkAddress from '../lib/ids/NetworkAddress.js';

test.each([
  '127.0.0.1:1', '10.128.0.9:8080', 'localhost:65535', 'w-1.zone_a.example:80', 'a:1',
])('%j is an address', (text) => {
  expect(NetworkAddress.parse(text)).toBe(text);
  expect(new URL(`http://${text}`).port).toBe(text.endsWith(':80') ? '' : text.split(':')[1]);
});

// Guards against addresses that a client rejects with an exception when a request is sent there.
test.each([
  '', ':', ':80', 'h:', 'h', '127.0.0.1:0', '127.0.0.1:65536', '127.0.0.1:70000', `127.0.0.1:${'9'.repeat(400)}`,
  '127.0.0.1:1e3', '127.0.0.1:+1', '127.0.0.1: 1', '127.0.0.1:1\n', '127.0.0.1:080', '127.0.0.1:٣', 'a b%\n:80', 'a%20b:80',
  'u@h:80', 'h/p:80', 'h?q:80', 'h#f:80', '\\h:80', '256.1.1.1:80', '1.2.3:80', '127.1:80', '1:80', '0x7f.1:80', 'a.0x:80',
  '[::1]:80', '::1:80', 'http://h:80', '-h:80', 'h-:80', 'h..i:80', '.h:80', 'h.:80', `${'a'.repeat(64)}:80`, 'xn--a:80', 'é:80',
])('%j is not an address', (text) => {
  expect(NetworkAddress.safeParse(text).success).toBe(false);
});

// Guards against entries that find no holder of the lease, or fail to read who it is, because of its address.
test('a lease with an odd address is one without an address', () => {
  const record = {
    holder: 'a', fencing: 1, renewal: 'abcdefgh', termMilliseconds: 1, released: false,
  };
  expect(LeaseRecord.parse({ ...record, address: 'a:70000' }).address).toBeNull();
  expect(LeaseRecord.parse({ ...record, address: 'a:1' }).address).toBe('a:1');
});
