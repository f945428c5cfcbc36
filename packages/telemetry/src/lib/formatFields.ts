import type LogFields from './LogFields.js';

const NEEDS_QUOTES = /[\s"=]/;

function formatValue(value: LogFields[string]): string {
  const text = String(value);
  return NEEDS_QUOTES.test(text) ? JSON.stringify(text) : text;
}

/** Formats fields as `name=value`, separated by spaces. Undefined fields are omitted. */
export default function formatFields(fields: LogFields): string {
  return Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => `${name}=${formatValue(value)}`)
    .join(' ');
}
