export default async function readText(incoming) {
  const chunks = [];
  for await (const chunk of incoming) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString();
}
