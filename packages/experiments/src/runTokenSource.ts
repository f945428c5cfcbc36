import TokenSource from './lib/TokenSource.js';

const [vm = '', replica = '', service = '', tokensPerSecond = '50'] = process.argv.slice(2);
const source = new TokenSource({
  vm, replica, service, tokensPerSecond: Number(tokensPerSecond),
});
const port = await source.listen();
process.stdout.write(`ready ${JSON.stringify({ address: `127.0.0.1:${port}` })}\n`);
process.once('SIGTERM', () => source.close());
