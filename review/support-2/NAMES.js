/** Names of the small deployment of the cases. */
const NAMES = {
  host: 'desk.example', key: 'n2ctnfzs989anu6wsjnb', models: 'lm', plain: 'app', model: 'modelone',
};

export default NAMES;
