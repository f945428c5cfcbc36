export default function sleep(milliseconds) {
  return new Promise((done) => {
    setTimeout(done, milliseconds);
  });
}
