"use strict";

// Reads the routes with the entered key and shows each response as a table. The key
// is held in memory only and is lost when the page is closed.

const ROUTES = ["status", "hosts", "endpoints", "classes", "teams", "requests", "settings"];
const PERIOD_MS = 5000;

let key = "";

async function read(route) {
  const answer = await fetch("/admin/v1/" + route, {
    headers: { authorization: "Bearer " + key },
  });
  const body = await answer.json();
  if (!answer.ok) {
    throw new Error(body.error.message);
  }
  return body;
}

function text(value) {
  if (value === null || value === undefined) {
    return "";
  }
  return typeof value === "object" ? JSON.stringify(value) : String(value);
}

function row(cells, kind) {
  const line = document.createElement("tr");
  for (const cell of cells) {
    const element = document.createElement(kind);
    element.textContent = text(cell);
    line.append(element);
  }
  return line;
}

function table(name, body) {
  const section = document.createElement("section");
  const title = document.createElement("h2");
  title.textContent = name;
  const grid = document.createElement("table");
  const rows = name === "settings" ? body.entries : body[name];
  if (Array.isArray(rows)) {
    const columns = rows.length ? Object.keys(rows[0]) : [];
    grid.append(row(columns, "th"));
    for (const item of rows) {
      grid.append(row(columns.map((column) => item[column]), "td"));
    }
  } else {
    for (const [column, value] of Object.entries(body)) {
      grid.append(row([column, value], "td"));
    }
  }
  section.append(title, grid);
  return section;
}

async function refresh() {
  const state = document.getElementById("state");
  try {
    const bodies = await Promise.all(ROUTES.map(read));
    const sections = ROUTES.map((name, index) => table(name, bodies[index]));
    document.getElementById("tables").replaceChildren(...sections);
    state.textContent = "Read at " + new Date().toLocaleTimeString() + ".";
    return true;
  } catch (error) {
    state.textContent = "Cannot read: " + error.message;
    return false;
  }
}

let timer = 0;

async function repeat() {
  const read = await refresh();
  if (read) {
    timer = setTimeout(repeat, PERIOD_MS);
  }
}

document.getElementById("key").addEventListener("submit", (event) => {
  event.preventDefault();
  clearTimeout(timer);
  key = document.getElementById("value").value;
  repeat();
});
