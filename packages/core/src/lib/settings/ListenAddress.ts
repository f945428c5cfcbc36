import { z } from 'zod';

const MAXIMUM_PORT = 65_535;

/** Address that a server listens on. */
const ListenAddress = z.strictObject({
  /** IP address; also the address advertised to clients. */
  host: z.string().default('127.0.0.1'),
  /** 0 picks a free port. */
  port: z.number().int().min(0).max(MAXIMUM_PORT),
});
type ListenAddress = z.infer<typeof ListenAddress>;

export default ListenAddress;
