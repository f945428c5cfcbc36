import { z } from 'zod';

const MAXIMUM_PORT = 65_535;

/** Destination of the metrics. Without a host nothing is sent. */
const MetricsSettings = z.strictObject({
  host: z.string().optional(),
  port: z.number().int().min(1).max(MAXIMUM_PORT)
    .optional(),
});
type MetricsSettings = z.infer<typeof MetricsSettings>;

export default MetricsSettings;
