import { z } from 'zod';

/** Name of a model. */
const ModelName = z.string().min(1).brand<'ModelName'>();
type ModelName = z.infer<typeof ModelName>;

export default ModelName;
