const load = async (name) => {
  const module = await import(new URL(`../../packages/soak/dist/lib/store/${name}.js`, import.meta.url).href);
  return module.default;
};

/** The store of the project's soak, which its package does not export. */
const soakStore = {
  SoakTables: await load('SoakTables'),
  StoreServer: await load('StoreServer'),
  writeConfiguration: await load('writeConfiguration'),
};

export default soakStore;
