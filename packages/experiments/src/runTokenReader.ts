import TokenReader from './lib/TokenReader.js';

/** Arguments: addresses, service, streams, tokens a stream, seconds, warm-up seconds. */
const [addresses = '', service = '', streams = '1', tokens = '100', seconds = '10', warmUp = '5'] = process.argv.slice(2);
const reader = new TokenReader({
  addresses: addresses.split(','),
  service,
  streams: Number(streams),
  tokensPerStream: Number(tokens),
  seconds: Number(seconds),
  warmUpSeconds: Number(warmUp),
});
process.stdout.write('ready {}\n');
process.stdout.write(`summary ${JSON.stringify(await reader.run())}\n`);
