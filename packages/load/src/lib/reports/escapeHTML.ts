const ENTITIES: Readonly<Record<string, string>> = {
  '&': '&amp;', '<': '&lt;', '>': '&gt;', '"': '&quot;',
};

/** Text for use in HTML content and attributes. */
export default function escapeHTML(text: string): string {
  return text.replace(/[&<>"]/g, (character) => ENTITIES[character] ?? character);
}
