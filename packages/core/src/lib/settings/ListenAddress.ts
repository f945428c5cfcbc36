import { z } from 'zod';

const MAXIMUM_PORT = 65_535;

/** Address that a server listens on. */
const ListenAddress = z.strictObject({
  /** IP number, which is also the one given to those who connect. */
  host: z.string().default('127.0.0.1'),
  /** 0 takes a free port. */
  port: z.number().int().min(0).max(MAXIMUM_PORT),
});
type ListenAddress = z.infer<typeof ListenAddress>;

export default ListenAddress;
