import { z, type ZodType } from 'zod';

/**
 * A list without the items that do not match a schema. The sender passes on what others wrote, and an
 * earlier build may not have checked all of it.
 */
export default function listOfValid<Item>(schema: ZodType<Item>) {
  return z.array(z.unknown()).transform((items): Item[] => items.flatMap((item) => {
    const parsed = schema.safeParse(item);
    return parsed.success ? [parsed.data] : [];
  }));
}
